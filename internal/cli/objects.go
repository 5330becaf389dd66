package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/operatorapi"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

const contentTypeYAML = "application/yaml"

type applyCmd struct {
	File []string `short:"f" required:"" help:"YAML or JSON file with objects; - reads standard input."`
}

func (a *applyCmd) Run(ctx context.Context, g *Globals) error {
	return applyFiles(ctx, g, a.File, false)
}

type validateCmd struct {
	File []string `short:"f" required:"" help:"YAML or JSON file with objects; - reads standard input."`
}

func (v *validateCmd) Run(ctx context.Context, g *Globals) error {
	return applyFiles(ctx, g, v.File, true)
}

func applyFiles(ctx context.Context, g *Globals, files []string, dryRun bool) error {
	for _, file := range files {
		data, err := readFile(file)
		if err != nil {
			return err
		}
		query := url.Values{"file": {file}, "dryRun": {strconv.FormatBool(dryRun)}}
		var response operatorapi.ApplyResponse
		if err := g.call(ctx, "POST", operatorapi.PathApply+"?"+query.Encode(), data, contentTypeYAML, &response); err != nil {
			return err
		}
		if err := g.print(response, func(w io.Writer) { printApplied(w, response) }); err != nil {
			return err
		}
	}
	return nil
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		data, err := io.ReadAll(standardInput)
		return data, errors.Wrap(err, "read standard input")
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, result.Wrap(err, result.BadRequest, result.NotRun, "read file")
	}
	return data, nil
}

func printApplied(w io.Writer, a operatorapi.ApplyResponse) {
	for _, o := range a.Objects {
		_, _ = fmt.Fprintf(w, "%s/%s\t%s\n", o.Kind, o.Name, o.Action)
	}
	if a.DryRun {
		_, _ = fmt.Fprintf(w, "valid against revision %d; nothing was stored\n", a.Revision)
		return
	}
	_, _ = fmt.Fprintf(w, "revision %d is in force\n", a.Revision)
}

type getCmd struct {
	Kind     string `arg:"" help:"Kind of the objects, for example Service."`
	Name     string `arg:"" optional:"" help:"Name of one object."`
	Selector string `short:"l" help:"Labels that must match: key=value,key2=value2."`
}

func (c *getCmd) Run(ctx context.Context, g *Globals) error {
	path := operatorapi.PathObjects + "/" + url.PathEscape(c.Kind)
	if c.Name != "" {
		path += "/" + url.PathEscape(c.Name)
	}
	if c.Selector != "" {
		path += "?selector=" + url.QueryEscape(c.Selector)
	}
	var response operatorapi.ObjectList
	if err := g.call(ctx, "GET", path, nil, "", &response); err != nil {
		return err
	}
	return g.print(response, func(w io.Writer) { printObjects(w, response) })
}

func printObjects(w io.Writer, list operatorapi.ObjectList) {
	_, _ = fmt.Fprintln(w, "KIND\tNAME\tREVISION\tLABELS\tSPEC")
	for _, o := range list.Objects {
		spec, _ := json.Marshal(o.Spec)
		labels, _ := json.Marshal(o.Metadata.Labels)
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", o.Kind, o.Metadata.Name, o.Metadata.Revision, labels, spec)
	}
}

type deleteCmd struct {
	Kind     string `arg:"" help:"Kind of the object."`
	Name     string `arg:"" help:"Name of the object."`
	Revision int64  `help:"Fail unless the object has this revision."`
}

func (c *deleteCmd) Run(ctx context.Context, g *Globals) error {
	path := fmt.Sprintf("%s/%s/%s?revision=%d", operatorapi.PathObjects, url.PathEscape(c.Kind), url.PathEscape(c.Name), c.Revision)
	var response operatorapi.ApplyResponse
	if err := g.call(ctx, "DELETE", path, nil, "", &response); err != nil {
		return err
	}
	return g.print(response, func(w io.Writer) { printApplied(w, response) })
}

// print writes v as JSON, or with -o table calls writeTable. Tabs separate the
// columns that writeTable writes.
func (g *Globals) print(v any, writeTable func(io.Writer)) error {
	if g.Output == "json" {
		encoder := json.NewEncoder(g.out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(v), "write output")
	}
	w := tabwriter.NewWriter(g.out, 0, 4, 2, ' ', 0)
	writeTable(w)
	return errors.Wrap(w.Flush(), "write output")
}
