package backend

import (
	"fmt"
	"net/http"
)

// Fault is how a backend server fails short requests.
type Fault int32

// The faults. Work is journaled before any of them shows.
const (
	FaultNone       Fault = iota
	FaultNoAnswer         // closes the connection before any answer
	FaultGarbage          // answers with what is no HTTP
	FaultCutLength        // announces a length, closes after half of it
	FaultCutChunks        // closes in the middle of a chunked answer
	FaultStallBody        // sends half of the announced length and then nothing
	FaultHalfHeader       // closes in the middle of the header
)

const faultyLength = 4096

// SetFault makes the server fail short requests from now on.
func (s *Server) SetFault(f Fault) { s.fault.Store(int32(f)) }

// injectFault answers a request with the fault that is set, if there is one.
func (s *Server) injectFault(w http.ResponseWriter, r *http.Request) bool {
	f := Fault(s.fault.Load())
	if f == FaultNone {
		return false
	}
	conn, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	service := fmt.Sprintf("Backend-Service: %s\r\n", s.cfg.Service)
	half := make([]byte, faultyLength/2)
	switch f {
	case FaultGarbage:
		out.WriteString("this is no answer\r\n\r\n")
	case FaultHalfHeader:
		out.WriteString("HTTP/1.1 200 OK\r\n" + service + "Content-Len")
	case FaultCutLength, FaultStallBody:
		fmt.Fprintf(out, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", service, faultyLength)
		out.Write(half)
	case FaultCutChunks:
		fmt.Fprintf(out, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n", service, len(half))
		out.Write(half)
		out.WriteString("\r\n")
	}
	out.Flush()
	if f == FaultStallBody {
		conn.Read(half) // until the agent gives up
	}
	return true
}
