package hertzconn

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// ErrEndsWithConnection means that the body of a reply has neither a length nor chunks, and
// that its connection ended in order. The body may be a part: the system also ends the
// connections of a killed process in order.
var ErrEndsWithConnection = errors.New("the body ends with its connection")

// endsWithConnection reports whether the head of a reply states neither a length nor chunks.
func endsWithConnection(head []byte) bool {
	reply, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
	if err != nil {
		return true
	}
	_ = reply.Body.Close()
	return reply.ContentLength < 0 && len(reply.TransferEncoding) == 0
}

// bodyFailure returns the error for a read of the body that failed with err.
func (c *conn) bodyFailure(err error) error {
	if c.endsWithConnection && errors.Is(err, io.EOF) {
		return errors.WithStack(ErrEndsWithConnection)
	}
	return err
}
