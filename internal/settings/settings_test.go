package settings

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const minimalSettings = `
[daemon]
name = a
data_centre = dc1
[orders]
secret_id = k1
secret = 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff
`

// Guards against misspelt keys and invalid values that are accepted, or whose error
// doesn't name the file, section and key.
func TestParseErrorNamesSectionAndKey(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"unknown key", minimalSettings + "[peers]\nseed = 127.0.0.1:1\n", "section [peers], key seed: the key is unknown"},
		{"unknown section", minimalSettings + "[peer]\nseeds = 127.0.0.1:1\n", "section [peer] is unknown"},
		{"range", minimalSettings + "[store]\ncall_timeout = 1h\n", "section [store], key call_timeout: 1h0m0s is outside 50ms to 30s"},
		{"address", minimalSettings + "[peers]\nseeds = localhost:1\n", `section [peers], key seeds: "localhost:1" is not ip:port`},
		{"missing", "[daemon]\nname = a\n", "section [daemon], key data_centre: a value is required"},
		{"secret", strings.Replace(minimalSettings, "secret = 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff", "secret = abc", 1), "section [orders], key secret:"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := Parse("test.ini", strings.NewReader(c.text))
			g.Expect(err).To(MatchError(ContainSubstring(c.want)))
			g.Expect(err).To(MatchError(HavePrefix("test.ini: ")))
		})
	}
}

func TestParseAppliesDefaults(t *testing.T) {
	g := NewWithT(t)
	s, err := Parse("test.ini", strings.NewReader(minimalSettings))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Daemon.AddressTTL.Seconds()).To(Equal(10.0))
	g.Expect(s.Log.Level).To(Equal("info"))
}

// Guards against a key whose description in the reference page is missing or
// outdated.
func TestReferenceIsDocumented(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/configuration.md")
	g.Expect(err).NotTo(HaveOccurred())
	for _, k := range Reference() {
		g.Expect(string(page)).To(ContainSubstring(k.Row()))
	}
}

// Guards against a key of the edge daemon whose description in the reference page
// is missing or outdated.
func TestEdgeReferenceIsDocumented(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/configuration.md")
	g.Expect(err).NotTo(HaveOccurred())
	for _, k := range EdgeReference() {
		g.Expect(string(page)).To(ContainSubstring(k.Row()))
	}
}

// Guards against a key in the template of the edge daemon's settings file that the
// daemon doesn't know.
func TestEdgeTemplateNamesKnownKeys(t *testing.T) {
	g := NewWithT(t)
	template, err := os.ReadFile("../../deploy/rudderd.ini.tmpl")
	g.Expect(err).NotTo(HaveOccurred())
	known := map[string]bool{}
	for _, k := range EdgeReference() {
		known[k.Section+"."+k.Name] = true
	}
	section := ""
	for line := range strings.SplitSeq(string(template), "\n") {
		if i := strings.LastIndex(line, "}}"); strings.HasPrefix(line, "{{") && strings.Contains(line, "=") {
			line = line[strings.LastIndex(line[:strings.Index(line, "=")], "}}")+2:]
		} else if i >= 0 && !strings.Contains(line, "=") {
			continue
		}
		if strings.HasPrefix(line, "[") {
			section = strings.Trim(line, "[]")
			continue
		}
		name, _, ok := strings.Cut(line, " = ")
		if ok {
			g.Expect(known).To(HaveKey(section + "." + name))
		}
	}
}
