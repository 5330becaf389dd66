package exchange

import (
	"bufio"
	"bytes"
	"hash/maphash"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/replyconn"
)

const (
	// statusLinePrefix begins the head of each reply.
	statusLinePrefix = "HTTP/1."
	// statusLineLen is the length of a status line up to its reason.
	statusLineLen = len("HTTP/1.1 200")
	// maxEarlierIDs is the number of requests of a connection whose late replies are
	// recognised within a later one.
	maxEarlierIDs = 16
	// surplusWait is the maximum time for which a whole body that ends like the start of a
	// head waits for the rest of it. The bytes before and after the end of the body come in
	// one write of the instance, so that only the link comes between them.
	surplusWait = 10 * time.Millisecond
)

var (
	errEmbeddedReply = errors.New("another reply begins within the body")
	errRepeatedReply = errors.New("the reply is repeated with another body")
	errFilledBody    = errors.New("the body ends within the head of another reply")
)

// embeddedReplies finds the head of another reply within a body: a second copy of this
// reply, or a late reply to an earlier request of the connection. Such bytes belong to no
// request. The framing of the body does not tell them apart if it is only the end of the
// connection, or if they come before the end of a body with a length.
type embeddedReplies struct {
	source io.Reader
	// endsWithConnection reports that the body has no framing of its own.
	endsWithConnection bool
	method             string
	// id is that of the request. earlier are those of earlier requests of the connection.
	id      string
	earlier []string
	matches func(h http.Header, id string, reused bool) bool
	// lineFeeds reports that lines of a head may end without a carriage return, as in the head
	// of this reply. Otherwise such lines are text.
	lineFeeds bool
	// surplus returns the bytes after the body that have arrived: more than count of them,
	// unless no more arrive until the deadline. It is nil if the body has no length.
	surplus  func(count int, deadline time.Time) []byte
	deadline time.Time // of waiting for surplus bytes; zero before the first wait

	part    []byte
	ready   []byte // part of the body that has not been read
	pending []byte // may be the start of another reply
	err     error  // of source
	digest  maphash.Hash
	length  int64 // bytes of the body, up to ready
	proved  bool  // an equal copy has framing of its own
}

// Read implements io.Reader. It returns an error if the body contains another reply or its
// start, unless the body ends with the connection and is followed by a second copy of itself.
func (e *embeddedReplies) Read(buffer []byte) (int, error) {
	for len(e.ready) == 0 {
		if e.err != nil {
			return 0, e.err
		}
		if len(e.pending) == 0 {
			n, err := e.source.Read(buffer)
			e.err = err
			if !bytes.Contains(buffer[:n], []byte(statusLinePrefix)) && commonEnd(buffer[:n], statusLinePrefix) == 0 {
				e.count(buffer[:n])
				return n, err
			}
			e.pending = append(e.pending, buffer[:n]...)
			e.scan()
			continue
		}
		if e.part == nil {
			e.part = make([]byte, max(len(buffer), readBufferBytes))
		}
		n, err := e.source.Read(e.part)
		e.err = err
		e.pending = append(e.pending, e.part[:n]...)
		e.scan()
	}
	n := copy(buffer, e.ready)
	e.ready = e.ready[n:]
	return n, nil
}

// scan moves to ready what is certainly a part of the body.
func (e *embeddedReplies) scan() {
	body := 0 // length of that part
	for {
		start := bytes.Index(e.pending[body:], []byte(statusLinePrefix))
		if start < 0 {
			body = len(e.pending) - commonEnd(e.pending, statusLinePrefix)
			break
		}
		start += body
		head, known, malformed := e.replyHead(e.pending[start:])
		if !known && e.err == nil {
			body = start
			break
		}
		if !known && e.filledFrom(start) {
			e.release(start)
			e.err = errFilledBody
			return
		}
		if !known && !malformed && e.endsWithConnection && e.hasLine(e.pending[start:]) {
			e.release(start)
			e.err = errRepeatedReply // cut within its head
			return
		}
		if id, found := e.identify(head); found {
			e.release(start)
			e.err = e.endAt(id)
			return
		}
		body = start + len(statusLinePrefix)
	}
	switch {
	case e.filledFrom(body):
		e.err = errFilledBody
	case e.err != nil:
		body = len(e.pending)
	}
	e.release(body)
}

// filledFrom reports whether the pending bytes from start on are the start of another reply,
// which fills a body whose own end is missing. Then the rest of the head follows the body,
// while a whole body is followed by nothing, or by a reply with a head of its own.
func (e *embeddedReplies) filledFrom(start int) bool {
	filler := e.pending[start:]
	if e.surplus == nil || len(filler) == 0 || !errors.Is(e.err, io.EOF) || !replyconn.StatusLineStart(filler) {
		return false
	}
	if e.deadline.IsZero() {
		e.deadline = time.Now().Add(surplusWait)
	}
	surplus := e.surplus(0, e.deadline)
	for len(surplus) > 0 {
		text := slices.Concat(filler, surplus)
		if bytes.HasPrefix(surplus, []byte(statusLinePrefix)) || !replyconn.StatusLineStart(text) {
			return false
		}
		if len(filler) < statusLineLen && len(text) >= statusLineLen {
			return true
		}
		head, known, malformed := e.replyHead(text)
		if _, found := e.identify(head); found || head == nil {
			return found
		}
		more := e.surplus(len(surplus), e.deadline)
		if known || len(more) == len(surplus) {
			return !malformed
		}
		surplus = more
	}
	return false
}

// release moves the first bytes of pending to ready.
func (e *embeddedReplies) release(count int) {
	e.ready = append(e.ready[:0:0], e.pending[:count]...)
	e.pending = append(e.pending[:0], e.pending[count:]...)
	e.count(e.ready)
}

// count adds a part of the body to its length and digest.
func (e *embeddedReplies) count(part []byte) {
	e.length += int64(len(part))
	if e.endsWithConnection {
		_, _ = e.digest.Write(part) // never fails
	}
}

// identify returns the ID of the request of this connection to which a head belongs.
func (e *embeddedReplies) identify(head http.Header) (string, bool) {
	if head == nil || e.matches == nil {
		return "", false
	}
	for _, id := range append([]string{e.id}, e.earlier...) {
		if e.matches(head, id, true) {
			return id, true
		}
	}
	return "", false
}

// endAt returns the error with which the body ends where a reply to the request with an ID
// begins: io.EOF if an equal second copy of the body follows up to its end. Without framing,
// that is the orderly end of the connection, which proves of the copy and the body no more
// than it does of a single reply: both may be cut at the same byte.
func (e *embeddedReplies) endAt(id string) error {
	if id != e.id || !e.endsWithConnection {
		return errEmbeddedReply
	}
	if _, _, err := replyconn.NewHeadScanner(headLimits).Scan(e.pending); err != nil {
		return errRepeatedReply
	}
	rest := io.MultiReader(bytes.NewReader(e.pending), &failed{e.source, e.err})
	copied, err := http.ReadResponse(bufio.NewReader(rest), &http.Request{Method: e.method})
	if err != nil {
		return errRepeatedReply
	}
	var digest maphash.Hash
	digest.SetSeed(e.digest.Seed())
	// One byte more than the body has tells a longer copy from an equal one.
	n, err := io.Copy(&digest, io.LimitReader(copied.Body, e.length+1))
	if err != nil || n != e.length || digest.Sum64() != e.digest.Sum64() {
		return errRepeatedReply
	}
	e.proved = framed(copied)
	return io.EOF
}

// failed is a reader that has returned an error already; nil if it has not.
type failed struct {
	io.Reader
	err error
}

func (f *failed) Read(buffer []byte) (int, error) {
	if f.err != nil {
		return 0, f.err
	}
	return f.Reader.Read(buffer)
}

// commonEnd returns the length of the longest end of data with which text begins.
func commonEnd(data []byte, text string) int {
	for n := min(len(data), len(text)-1); n > 0; n-- {
		if string(data[len(data)-n:]) == text[:n] {
			return n
		}
	}
	return 0
}

// replyHead returns the headers of a reply that begins with data, or nil if data is not the
// start of a reply. known is false if more data is needed to tell. Then the headers are
// those that are complete. malformed tells that a line is no header, as in the head of a
// broken reply or in a text.
func (e *embeddedReplies) replyHead(data []byte) (head http.Header, known, malformed bool) {
	head = http.Header{}
	for first := true; ; first = false {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			if first && !replyconn.StatusLineStart(data) {
				return nil, true, false
			}
			return head, len(data) > maxHeadBytes, malformed
		}
		line, found := bytes.CutSuffix(data[:end], []byte("\r"))
		if !found && !e.lineFeeds {
			return nil, true, false
		}
		data = data[end+1:]
		if first {
			if len(line) < statusLineLen || !replyconn.StatusLineStart(line) {
				return nil, true, false
			}
			continue
		}
		if len(line) == 0 {
			return head, true, malformed
		}
		name, value, isHeader := bytes.Cut(line, []byte(":"))
		malformed = malformed || !isHeader
		if len(head) > maxHeadLines {
			return nil, true, malformed
		}
		head.Add(string(bytes.TrimSpace(name)), string(bytes.TrimSpace(value)))
	}
}

// hasLine reports whether data contains a whole line of a head.
func (e *embeddedReplies) hasLine(data []byte) bool {
	end := "\r\n"
	if e.lineFeeds {
		end = "\n"
	}
	return bytes.Contains(data, []byte(end))
}

// remember adds the ID of a request that the connection has carried.
func (c *conn) remember(id string) {
	if id == "" {
		return
	}
	c.earlier = append(c.earlier, id)
	c.earlier = slices.Delete(c.earlier, 0, max(len(c.earlier)-maxEarlierIDs, 0))
}
