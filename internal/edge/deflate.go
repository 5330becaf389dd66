package edge

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
)

const (
	// minDeflateBytes is the size from which on values are compressed. A configuration
	// with 350 routes has 60 kB, and about a tenth of that compressed.
	minDeflateBytes = 1 << 10
	// maxInflatedBytes is the largest value that is decompressed, which is also the
	// largest that the store accepts.
	maxInflatedBytes = 4 << 20
	// maxDeflatedEntries limits the cache of compressed values.
	maxDeflatedEntries = 64
)

// deflater compresses values and keeps the results, because each follower gets the same.
type deflater struct {
	mu      sync.Mutex
	entries map[string]deflatedEntry // by key
}

type deflatedEntry struct {
	revision int64
	data     []byte
}

// deflate returns the compressed value of an entry, or nil if it is sent as it is.
func (c *deflater) deflate(kv store.KeyValue) []byte {
	if len(kv.Value) < minDeflateBytes {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.entries[kv.Key]; ok && e.revision == kv.ModRevision {
		return e.data
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil // the level is valid, so this can't happen; the value is sent as it is
	}
	if _, err := w.Write(kv.Value); err != nil {
		return nil // writes to a buffer don't fail
	}
	if err := w.Close(); err != nil {
		return nil
	}
	if c.entries == nil || len(c.entries) >= maxDeflatedEntries {
		c.entries = map[string]deflatedEntry{}
	}
	c.entries[kv.Key] = deflatedEntry{kv.ModRevision, b.Bytes()}
	return b.Bytes()
}

// inflate decompresses a value of at most maxInflatedBytes.
func inflate(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	value, err := io.ReadAll(io.LimitReader(r, maxInflatedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress entry")
	}
	if len(value) > maxInflatedBytes {
		return nil, errors.New("entry has more than 4 MiB")
	}
	return value, nil
}
