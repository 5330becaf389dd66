package proxy

import "github.com/dogwoodrudder/dogwoodrudder/pkg/admission"

// slot is the admission slot of one request.
type slot struct {
	ticket  *admission.Ticket
	started bool
}

func (s *slot) firstByte() {
	s.started = true
	s.ticket.FirstByte()
}

// release frees the slot. A request that brought no byte is no sample of the
// service time.
func (s *slot) release() {
	if s.started {
		s.ticket.Done()
		return
	}
	s.ticket.Fail()
}
