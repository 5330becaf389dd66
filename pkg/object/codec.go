package object

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"sigs.k8s.io/yaml"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// MarshalJSON writes the duration as a string such as "1.5s".
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a duration string such as "1.5s".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Errorf("duration %s must be a string such as \"1.5s\"", data)
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("duration %q must be a string such as \"1.5s\"", text)
	}
	*d = Duration(value)
	return nil
}

// NewSpec returns an empty specification of the kind, or false if the kind is
// unknown.
func NewSpec(kind Kind) (Spec, bool) {
	switch kind {
	case KindService:
		return &Service{}, true
	case KindVersion:
		return &Version{}, true
	case KindClientAccount:
		return &ClientAccount{}, true
	case KindUpstream:
		return &Upstream{}, true
	case KindUpstreamSelector:
		return &UpstreamSelector{}, true
	case KindRoute:
		return &Route{}, true
	case KindMove:
		return &Move{}, true
	}
	return nil, false
}

// envelope is an object whose specification is not decoded yet.
type envelope struct {
	Kind     Kind            `json:"kind"`
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

// UnmarshalJSON reads an object and ignores unknown fields, so that a daemon
// can read objects that a newer one stored. Operator input is read by Decode,
// which refuses them.
func (o *Object) UnmarshalJSON(data []byte) error {
	return o.unmarshal(data, func(data []byte, into any) error { return json.Unmarshal(data, into) })
}

func (o *Object) unmarshal(data []byte, decode func([]byte, any) error) error {
	var e envelope
	if err := decode(data, &e); err != nil {
		return errors.WithMessage(err, nameHint(data))
	}
	name := Ref{Kind: e.Kind, Name: e.Metadata.Name}.String()
	spec, ok := NewSpec(e.Kind)
	if !ok {
		return errors.Errorf("%s: kind: %q is not a known kind", name, e.Kind)
	}
	if len(e.Spec) == 0 || bytes.Equal(bytes.TrimSpace(e.Spec), []byte("null")) {
		return errors.Errorf("%s: spec: missing", name)
	}
	if err := decode(e.Spec, spec); err != nil {
		return errors.WithMessage(err, name+": spec")
	}
	o.Kind, o.Metadata, o.Spec = e.Kind, e.Metadata, spec
	return nil
}

// nameHint returns "Kind/name" for the error message of a document that cannot be
// decoded, with "?" for what cannot be read.
func nameHint(data []byte) string {
	var hint struct {
		Kind     any `json:"kind"`
		Metadata struct {
			Name any `json:"name"`
		} `json:"metadata"`
	}
	_ = json.Unmarshal(data, &hint)
	textOf := func(v any) string {
		if s, ok := v.(string); ok {
			return s
		}
		return "?"
	}
	return textOf(hint.Kind) + "/" + textOf(hint.Metadata.Name)
}

func decodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return fieldError(decoder.Decode(into))
}

// fieldError rewrites type errors of encoding/json so that they name the field first.
func fieldError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return errors.Errorf("%s: cannot use %s as %s", wrongType.Field, wrongType.Value, wrongType.Type)
	}
	return err
}

// Decode reads objects from an operator's file: YAML with any number of
// documents, or JSON with one object, several in sequence, or an array. Unknown
// fields and duplicate keys are refused, and each object is checked by
// Object.Validate. Errors have the code InvalidObject and name the file, the
// document, the object and the field.
func Decode(file string, data []byte) ([]*Object, error) {
	var objects []*Object
	for i, document := range splitDocuments(data) {
		rawObjects, err := documentObjects(document)
		if err != nil {
			return nil, invalidFile(file, i, err)
		}
		for _, raw := range rawObjects {
			o := &Object{}
			if err := o.unmarshal(raw, decodeStrict); err != nil {
				return nil, invalidFile(file, i, err)
			}
			if err := o.Validate(); err != nil {
				return nil, invalidFile(file, i, errors.New(result.From(err).Detail))
			}
			objects = append(objects, o)
		}
	}
	return objects, refuseDuplicates(file, objects)
}

func invalidFile(file string, document int, err error) error {
	return result.New(result.InvalidObject, result.NotRun, "%s, document %d: %v", file, document+1, err)
}

func refuseDuplicates(file string, objects []*Object) error {
	seen := make(map[Ref]bool, len(objects))
	for _, o := range objects {
		if seen[o.Ref()] {
			return result.New(result.InvalidObject, result.NotRun,
				"%s: %s: metadata.name: the file contains this object twice", file, o.Ref())
		}
		seen[o.Ref()] = true
	}
	return nil
}

// splitDocuments splits data at YAML document markers, which are valid only at the
// start of a line, and drops empty documents.
func splitDocuments(data []byte) [][]byte {
	var documents [][]byte
	var current []byte
	flush := func() {
		if hasContent(current) {
			documents = append(documents, current)
		}
		current = nil
	}
	for _, line := range bytes.SplitAfter(bytes.TrimPrefix(data, []byte("\xef\xbb\xbf")), []byte("\n")) {
		for _, marker := range []string{"---", "..."} {
			if rest, ok := bytes.CutPrefix(line, []byte(marker)); ok && (len(rest) == 0 || bytes.ContainsRune([]byte(" \t\r\n"), rune(rest[0]))) {
				flush()
				line = rest
			}
		}
		current = append(current, line...)
	}
	flush()
	return documents
}

func hasContent(document []byte) bool {
	for _, line := range bytes.Split(document, []byte("\n")) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != '#' {
			return true
		}
	}
	return false
}

// documentObjects returns the JSON of each object in a document.
func documentObjects(document []byte) ([]json.RawMessage, error) {
	values, ok := jsonSequence(document)
	if !ok {
		values = [][]byte{document}
	}
	var rawObjects []json.RawMessage
	for _, value := range values {
		converted, err := yaml.YAMLToJSONStrict(value)
		if err != nil {
			return nil, errors.WithMessage(err, "syntax")
		}
		var list []json.RawMessage
		if json.Unmarshal(converted, &list) != nil {
			list = []json.RawMessage{converted}
		}
		rawObjects = append(rawObjects, list...)
	}
	return rawObjects, nil
}

// jsonSequence splits a sequence of JSON values; it returns false if the
// document is not JSON.
func jsonSequence(document []byte) ([][]byte, bool) {
	decoder := json.NewDecoder(bytes.NewReader(document))
	var values [][]byte
	for {
		var raw json.RawMessage
		err := decoder.Decode(&raw)
		if errors.Is(err, io.EOF) {
			return values, len(values) > 0
		}
		if err != nil {
			return nil, false
		}
		values = append(values, raw)
	}
}

// EncodeYAML writes objects as YAML documents that Decode reads back.
func EncodeYAML(objects ...*Object) ([]byte, error) {
	var out bytes.Buffer
	for i, o := range objects {
		if i > 0 {
			out.WriteString("---\n")
		}
		data, err := yaml.Marshal(o)
		if err != nil {
			return nil, errors.Wrap(err, fmt.Sprintf("encode %s", o.Ref()))
		}
		out.Write(data)
	}
	return out.Bytes(), nil
}
