package main

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/routing"
)

// mix is a stream of requests.
type mix struct {
	name string
	// rate is the mean number of requests per second.
	rate float64
	// burst multiplies the rate for burstLength of every burstPeriod, with the
	// same mean.
	burst float64
	// labelled means that the operator has labelled the fastest machine class
	// for short requests. Only mix A has two request classes to separate.
	labelled bool
	// noTargets means that the figures are reported without bounds.
	noTargets bool
	next      func(g *generator) *job
}

const (
	burstLength = 5 * time.Second
	burstPeriod = 25 * time.Second
	// Mix A: long documents of 4,000 to 12,000 tokens that share templates and
	// are asked about several times, and short questions.
	documentRequestsPerSecond = 12
	shortRequestsPerSecond    = 60
	templates                 = 6
	templateTokens            = 2048
	minDocumentTokens         = 4000
	maxDocumentTokens         = 12000
	recentDocuments           = 80
	newDocumentProbability    = 0.2
	// Mix B: short prompts with shared tables.
	tables                 = 40
	tableTokens            = 3000
	tableRequestsPerSecond = 110
	largeAccountShare      = 0.75 // of the requests, for two large accounts among five
)

func mixes() []mix {
	return []mix{
		{name: "A", rate: documentRequestsPerSecond + shortRequestsPerSecond, burst: 1, labelled: true, next: (*generator).mixA},
		{name: "A unlabelled", rate: documentRequestsPerSecond + shortRequestsPerSecond, burst: 1, noTargets: true, next: (*generator).mixA},
		{name: "B steady", rate: tableRequestsPerSecond, burst: 1, next: (*generator).mixB},
		{name: "B bursty", rate: tableRequestsPerSecond, burst: 2.5, next: (*generator).mixB},
	}
}

// generator creates requests; equal seeds give equal streams.
type generator struct {
	r         *rand.Rand
	mix       mix
	documents [][]uint64
	blocks    map[[2]uint64][]uint64
	contents  uint64
}

func newGenerator(m mix, seed uint64) *generator {
	return &generator{r: rand.New(rand.NewPCG(seed, 1)), mix: m, blocks: make(map[[2]uint64][]uint64)}
}

// interarrivalTime returns the time to the next request.
func (g *generator) interarrivalTime(now time.Duration) time.Duration {
	rate := g.mix.rate
	if g.mix.burst > 1 {
		burstFraction := float64(burstLength) / float64(burstPeriod)
		if now%burstPeriod < burstLength {
			rate *= g.mix.burst
		} else {
			rate *= (1 - g.mix.burst*burstFraction) / (1 - burstFraction)
		}
	}
	return time.Duration(g.r.ExpFloat64() / rate * float64(time.Second))
}

func (g *generator) account() string {
	switch p := g.r.Float64(); {
	case p < largeAccountShare/2:
		return "large-1"
	case p < largeAccountShare:
		return "large-2"
	}
	return [...]string{"small-1", "small-2", "small-3"}[g.r.IntN(3)]
}

// chain extends a prefix by tokens of new content.
func (g *generator) chain(prefix []uint64, tokens int) []uint64 {
	g.contents++
	var content [8]byte
	binary.LittleEndian.PutUint64(content[:], g.contents)
	blocks := append([]uint64(nil), prefix...)
	last := uint64(0)
	if len(prefix) > 0 {
		last = prefix[len(prefix)-1]
	}
	for range tokens / blockTokens {
		last = routing.ChainHash(last, content[:])
		blocks = append(blocks, last)
	}
	return blocks
}

// shared returns the blocks of a shared text, creating it on first use.
func (g *generator) shared(kind, id uint64, tokens int) []uint64 {
	key := [2]uint64{kind, id}
	if _, ok := g.blocks[key]; !ok {
		g.blocks[key] = g.chain(nil, tokens)
	}
	return g.blocks[key]
}

func (g *generator) prompt(prefix []uint64, tokens int) ([]uint64, int) {
	blocks := g.chain(prefix, tokens)
	return blocks, len(prefix)*blockTokens + tokens
}

func (g *generator) mixA() *job {
	j := &job{class: object.ClassShort, account: g.account(), output: 60}
	if g.r.Float64() < shortRequestsPerSecond/(shortRequestsPerSecond+documentRequestsPerSecond+0.0) {
		j.blocks, j.prompt = g.prompt(nil, 100+g.r.IntN(300))
		return j
	}
	j.class, j.output = object.ClassLong, 400
	j.blocks, j.prompt = g.prompt(g.document(), 200)
	return j
}

// document returns a recent document or a new one.
func (g *generator) document() []uint64 {
	if len(g.documents) > 0 && g.r.Float64() >= newDocumentProbability {
		return g.documents[g.r.IntN(len(g.documents))]
	}
	template := g.shared(0, uint64(g.r.IntN(templates)), templateTokens)
	tokens := minDocumentTokens + g.r.IntN(maxDocumentTokens-minDocumentTokens) - templateTokens
	d := g.chain(template, tokens)
	g.documents = append(g.documents, d)
	if len(g.documents) > recentDocuments {
		g.documents = g.documents[1:]
	}
	return d
}

// mixB chooses a table for each request; tables with a lower number are chosen
// more often.
func (g *generator) mixB() *job {
	j := &job{class: object.ClassShort, account: g.account(), output: 80}
	u := g.r.Float64()
	table := uint64(u * u * tables)
	j.blocks, j.prompt = g.prompt(g.shared(1, table, tableTokens), 100+g.r.IntN(200))
	return j
}
