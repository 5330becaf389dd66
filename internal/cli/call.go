package cli

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/apiclient"
	"github.com/dogwoodrudder/dogwoodrudder/internal/operatorapi"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

type whereCmd struct{}

func (c *whereCmd) Run(ctx context.Context, g *Globals) error {
	var response operatorapi.AddressResponse
	if err := g.call(ctx, http.MethodGet, operatorapi.PathAddress, nil, "", &response); err != nil {
		return err
	}
	return g.print(response, func(w io.Writer) { printWhere(w, response) })
}

func printWhere(w io.Writer, a operatorapi.AddressResponse) {
	_, _ = fmt.Fprintf(w, "addresses\t%s\n", strings.Join(a.Addresses, ", "))
	_, _ = fmt.Fprintf(w, "valid for\t%s\n", time.Duration(a.TTLSeconds)*time.Second)
	if a.OrderToken != "" {
		_, _ = fmt.Fprintf(w, "order token\t%s\n", a.OrderToken)
		_, _ = fmt.Fprintf(w, "expires\t%s\n", a.OrderTokenExpires.Format(time.RFC3339))
	}
}

type callCmd struct {
	Service string `arg:"" help:"Service to call."`
	Method  string `arg:"" help:"HTTP method."`
	Path    string `arg:"" help:"Path of the operation, for example /reservations."`
	Data    string `help:"Request body; @FILE reads a file and @- standard input."`
	Type    string `help:"Content type of the body." default:"application/json"`
	Order   bool   `help:"Send an order: a call that is executed at most once."`
}

func (c *callCmd) Run(ctx context.Context, g *Globals) error {
	r, err := c.request()
	if err != nil {
		return err
	}
	client, timeout, err := g.client()
	if err != nil {
		return err
	}
	r.Timeout = timeout
	addresses := g.Address
	if c.Order {
		if addresses, err = g.setOrderKey(ctx, client, &r); err != nil {
			return err
		}
	}
	return g.sendCall(ctx, client, addresses, r)
}

func (c *callCmd) request() (apiclient.Request, error) {
	if !strings.HasPrefix(c.Path, "/") {
		return apiclient.Request{}, result.New(result.BadRequest, result.NotRun, "path %q does not start with /", c.Path)
	}
	r := apiclient.Request{
		Method: strings.ToUpper(c.Method), Path: "/app/" + url.PathEscape(c.Service) + c.Path,
		ContentType: c.Type, Header: map[string]string{},
	}
	if name, ok := strings.CutPrefix(c.Data, "@"); ok {
		data, err := readFile(name)
		if err != nil {
			return r, err
		}
		r.Body = data
	} else if c.Data != "" {
		r.Body = []byte(c.Data)
	}
	return r, nil
}

// setOrderKey gets an order token and sets the Idempotency-Key of r. It returns
// the addresses to use, starting with the daemon that executes orders with this
// key. A daemon that is stopping issues no token; then the next one is tried.
func (g *Globals) setOrderKey(ctx context.Context, client *apiclient.Client, r *apiclient.Request) ([]string, error) {
	request := apiclient.Request{Method: http.MethodGet, Path: operatorapi.PathAddress, Timeout: r.Timeout}
	err := error(result.New(result.BadRequest, result.NotRun, "no daemon address"))
	for _, address := range g.Address {
		var response operatorapi.AddressResponse
		if response, err = requestAddresses(ctx, client, address, request); err != nil {
			continue
		}
		if response.OrderToken == "" {
			err = result.New(result.OrderFrozen, result.NotRun, "daemon %s issued no order token", address)
			continue
		}
		r.Header["Idempotency-Key"] = response.OrderToken + "." + uuid.NewString()
		if len(response.Addresses) == 0 {
			return append([]string{address}, g.Address...), nil
		}
		return response.Addresses, nil
	}
	return nil, errors.WithMessage(err, "get order token")
}

func requestAddresses(ctx context.Context, client *apiclient.Client, address string, r apiclient.Request) (response operatorapi.AddressResponse, err error) {
	resp, err := sendWithFailover(ctx, client, []string{address}, r, true)
	if err != nil {
		return response, err
	}
	if resp.Status >= http.StatusMultipleChoices {
		return response, apiclient.Problem(resp.Status, resp.Body)
	}
	return response, errors.Wrap(json.Unmarshal(resp.Body, &response), "decode response")
}

// sendCall sends r and prints the response. The daemon refuses a call that is
// neither idempotent nor has an Idempotency-Key, so that repeating the call at
// another daemon is safe.
func (g *Globals) sendCall(ctx context.Context, client *apiclient.Client, addresses []string, r apiclient.Request) error {
	key := r.Header["Idempotency-Key"]
	resp, err := sendWithFailover(ctx, client, addresses, r, true)
	if err != nil && key != "" && result.From(err).Execution == result.Unknown {
		return result.Wrap(err, result.OrderOutcomeUnknown, result.Unknown, "order %s", key)
	}
	if err != nil {
		return err
	}
	if resp.Status >= http.StatusMultipleChoices {
		return apiclient.Problem(resp.Status, resp.Body)
	}
	_, err = fmt.Fprintf(g.out, "%s\n", strings.TrimSuffix(string(resp.Body), "\n"))
	return errors.Wrap(err, "write response")
}

type hashKeyCmd struct{}

// standardInput is a variable so that tests can replace it.
var standardInput io.Reader = os.Stdin

func (c *hashKeyCmd) Run(g *Globals) error {
	data, err := io.ReadAll(standardInput)
	if err != nil {
		return errors.Wrap(err, "read standard input")
	}
	hash, err := hashKey(string(data))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(g.out, hash)
	return errors.Wrap(err, "write response")
}

// hashKey returns the hash of a key as client accounts store it. A line end, which
// terminals and editors add, is not part of the key.
func hashKey(key string) (string, error) {
	key = strings.TrimSuffix(strings.TrimSuffix(key, "\n"), "\r")
	if key == "" {
		return "", result.New(result.BadRequest, result.NotRun, "standard input contains no key")
	}
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:]), nil
}
