package backend

import (
	"fmt"
	"net/http"
)

// Fault is the way in which a backend server fails short requests.
type Fault int32

// The faults. The work is journaled before the fault occurs.
const (
	FaultNone       Fault = iota
	FaultNoAnswer         // closes the connection without an answer
	FaultGarbage          // answers with data that is not HTTP
	FaultCutLength        // closes the connection after half of the announced length
	FaultCutChunks        // closes the connection in the middle of a chunked answer
	FaultStallBody        // stops sending after half of the announced length
	FaultHalfHeader       // closes the connection in the middle of the header
)

const faultyLength = 4096 // announced length in bytes

// SetFault makes the server fail short requests from now on.
func (s *Server) SetFault(f Fault) { s.fault.Store(int32(f)) }

// injectFault answers a request with the current fault. It returns false if there is none.
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
		conn.Read(half) // until the agent closes the connection
	}
	return true
}
