package fleet

import (
	"bytes"
	"errors"
	"os/exec"
	"testing"
	"time"
)

// Result is the outcome of a program that ended.
type Result struct {
	Exit           int
	Stdout, Stderr string
}

// RunOnce runs a program of this module that is expected to end by itself, and kills it after
// WaitLimit.
func RunOnce(t testing.TB, program string, env map[string]string, args ...string) Result {
	t.Helper()
	var out, errs bytes.Buffer
	cmd := exec.Command(binary(t, program), args...)
	cmd.Stdout, cmd.Stderr = &out, &errs
	cmd.Env = []string{"PATH=/usr/bin"}
	for k, v := range env {
		cmd.Env = append(cmd.Env, k+"="+v)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	timer := time.AfterFunc(WaitLimit, func() { cmd.Process.Kill() })
	defer timer.Stop()
	err := cmd.Wait()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return Result{Exit: cmd.ProcessState.ExitCode(), Stdout: out.String(), Stderr: errs.String()}
}
