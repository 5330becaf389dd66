package proxy

import "github.com/dogwoodrudder/dogwoodrudder/pkg/admission"

// slot is the admission slot of one request.
type slot struct {
	ticket  *admission.Ticket
	started bool // the first byte has arrived
}

// firstByte records that the first byte of the response has arrived.
func (s *slot) firstByte() {
	s.started = true
	s.ticket.FirstByte()
}

// release frees the slot. A request without a byte of a response is not used as
// a sample of the service time.
func (s *slot) release() {
	if s.started {
		s.ticket.Done()
		return
	}
	s.ticket.Fail()
}
