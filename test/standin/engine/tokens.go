package engine

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockTokens is the number of tokens in a block of the prefix cache.
	blockTokens = 16
	// maxTokenBytes is the maximum size of a token; longer words are split.
	maxTokenBytes = 16
	// Without a limit, the output has minNaturalTokens tokens plus a number from
	// 0 to naturalTokenRange-1 that depends on the prompt.
	minNaturalTokens  = 16
	naturalTokenRange = 112
)

// Message is one chat message. Content is a string or a list of parts.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Text returns a message with plain text.
func Text(role, text string) Message {
	content, _ := json.Marshal(text) // a string can always be encoded
	return Message{Role: role, Content: content}
}

type contentPart struct {
	Type     string `json:"type"`
	Text     string `json:"text"`
	ImageURL struct {
		URL string `json:"url"`
	} `json:"image_url"`
}

// text returns the content as the model sees it; an image becomes the hash of
// its URL.
func (m Message) text() (string, error) {
	if len(m.Content) == 0 {
		return "", nil
	}
	var text string
	if err := json.Unmarshal(m.Content, &text); err == nil {
		return text, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", fmt.Errorf("content is neither a string nor a list of parts: %w", err)
	}
	var b strings.Builder
	for _, part := range parts {
		if part.Type == "image_url" {
			fmt.Fprintf(&b, " <image:%016x>", xxhash.Sum64String(part.ImageURL.URL))
			continue
		}
		b.WriteString(part.Text)
	}
	return b.String(), nil
}

// render applies the chat template. With resume, the last message is left out
// of the prompt and its text is returned as emitted.
func render(messages []Message, resume bool) (prompt, emitted string, err error) {
	var b strings.Builder
	for i, message := range messages {
		text, err := message.text()
		if err != nil {
			return "", "", fmt.Errorf("messages[%d]: %w", i, err)
		}
		if resume && i == len(messages)-1 {
			emitted = text
			break
		}
		fmt.Fprintf(&b, "<|%s|>\n%s\n", message.Role, text)
	}
	b.WriteString("<|assistant|>\n")
	return b.String(), emitted, nil
}

// tokenise splits text before spaces and line feeds, and words of more than
// maxTokenBytes bytes into pieces. The concatenated tokens are the text.
func tokenise(text string) []string {
	var tokens []string
	start := 0
	for i := 1; i <= len(text); i++ {
		if i == len(text) || text[i] == ' ' || text[i] == '\n' || i-start == maxTokenBytes {
			tokens = append(tokens, text[start:i])
			start = i
		}
	}
	return tokens
}

// token returns the i-th output token of a prompt, for example
// " 002a.9f3a61c0": its index and a hash of prompt and index, both in hex. A
// client can therefore detect tokens that are repeated, lost or of another prompt.
func token(seed uint64, i int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(i))
	return fmt.Sprintf(" %04x.%08x", i, uint32(xxhash.Sum64(b[:])))
}

// Output returns the first n tokens that every engine emits for messages.
func Output(messages []Message, n int) ([]string, error) {
	prompt, _, err := render(messages, false)
	if err != nil {
		return nil, err
	}
	return outputTokens(xxhash.Sum64String(prompt), n), nil
}

// NaturalLength returns the number of tokens that the engine emits for
// messages without a limit.
func NaturalLength(messages []Message) (int, error) {
	prompt, _, err := render(messages, false)
	return naturalLength(xxhash.Sum64String(prompt)), err
}

func naturalLength(seed uint64) int { return minNaturalTokens + int(seed%naturalTokenRange) }

func outputTokens(seed uint64, n int) []string {
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = token(seed, i)
	}
	return tokens
}

// continuation returns the tokens that follow emitted in the output of length
// total. Emitted text that is not a prefix of the output changes the seed, so
// that the remaining tokens differ from the expected output.
func continuation(seed uint64, emitted string, total int) []string {
	full := strings.Join(outputTokens(seed, total), "")
	if rest, ok := strings.CutPrefix(full, emitted); ok {
		return tokenise(rest)
	}
	done := min(total, len(tokenise(emitted)))
	otherSeed := seed ^ xxhash.Sum64String(emitted)
	return outputTokens(otherSeed, total)[done:]
}

// chain is the running hash of a token sequence in blocks.
type chain struct {
	hash   uint64   // of all full blocks
	blocks []uint64 // hash after each full block
	tail   []string // tokens after the last full block
}

// newChain returns an empty chain. The salt separates models and versions.
func newChain(salt string) *chain { return &chain{hash: xxhash.Sum64String(salt)} }

// add appends a token and reports whether it completed a block.
func (c *chain) add(token string) bool {
	c.tail = append(c.tail, token)
	if len(c.tail) < blockTokens {
		return false
	}
	c.hash = hashTail(c.hash, c.tail)
	c.blocks = append(c.blocks, c.hash)
	c.tail = c.tail[:0]
	return true
}

func (c *chain) tokens() int { return len(c.blocks)*blockTokens + len(c.tail) }

func hashTail(previous uint64, tail []string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], previous)
	_, _ = digest.Write(b[:])
	for _, token := range tail {
		_, _ = digest.WriteString(token)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
