package cli

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"github.com/dogwoodrudder/dogwoodrudder/internal/apiclient"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

const contentTypeJSON = "application/json"

// loadSettings takes the addresses and the key from the settings file where no
// flag sets them.
func (g *Globals) loadSettings() error {
	if g.Settings != "" {
		file, err := ini.Load(g.Settings)
		if err != nil {
			return result.Wrap(err, result.BadRequest, result.NotRun, "settings file %s", g.Settings)
		}
		section := file.Section("client")
		if len(g.Address) == 0 {
			g.Address = section.Key("addresses").Strings(",")
		}
		if g.Key == "" {
			g.Key = section.Key("key").String()
		}
	}
	if len(g.Address) == 0 {
		return result.New(result.BadRequest, result.NotRun, "no daemon address: use --address, RUDDER_ADDRESS or --settings")
	}
	return nil
}

func (g *Globals) timeout() (time.Duration, error) {
	d, err := time.ParseDuration(g.Timeout)
	if err != nil || d <= 0 {
		return 0, result.New(result.BadRequest, result.NotRun, "--timeout: %q is not a positive duration", g.Timeout)
	}
	return d, nil
}

// client loads the settings and returns a client and the time limit of a request.
func (g *Globals) client() (*apiclient.Client, time.Duration, error) {
	if err := g.loadSettings(); err != nil {
		return nil, 0, err
	}
	timeout, err := g.timeout()
	if err != nil {
		return nil, 0, err
	}
	c, err := apiclient.New(g.Key, false)
	return c, timeout, err
}

// call sends a request to the operators' API and decodes the JSON response. A
// change whose response is lost is not sent again, because it may have been
// stored.
func (g *Globals) call(ctx context.Context, method, path string, body []byte, contentType string, response any) error {
	c, timeout, err := g.client()
	if err != nil {
		return err
	}
	r := apiclient.Request{Method: method, Path: path, Body: body, ContentType: contentType, Timeout: timeout}
	resp, err := sendWithFailover(ctx, c, g.Address, r, method == http.MethodGet)
	if err != nil {
		return err
	}
	if resp.Status >= http.StatusMultipleChoices {
		return apiclient.Problem(resp.Status, resp.Body)
	}
	return errors.Wrap(json.Unmarshal(resp.Body, response), "decode response")
}

// sendWithFailover sends r to each address until a daemon responds that is not
// draining. Unless r is retryable, it is sent to a further address only if no
// byte of it was sent before.
func sendWithFailover(ctx context.Context, c *apiclient.Client, addresses []string, r apiclient.Request,
	retryable bool,
) (*apiclient.Response, error) {
	var lastErr error
	var draining *apiclient.Response
	execution := result.NotRun
	for _, address := range addresses {
		resp, err := c.Do(ctx, address, r)
		if err == nil && isDraining(resp) {
			draining = resp
			continue
		}
		if err == nil {
			return resp, nil
		}
		lastErr = err
		if errors.Is(err, apiclient.ErrNotConnected) {
			continue
		}
		if !retryable {
			return nil, result.Wrap(err, result.StoreOutcomeUnknown, result.Unknown, "daemon %s did not answer", address)
		}
		execution = result.Unknown
	}
	if draining != nil && execution == result.NotRun {
		return draining, nil
	}
	return nil, result.Wrap(lastErr, result.PeerUnreachable, execution, "no daemon answered")
}

// isDraining reports whether a daemon refused the request because it is draining.
func isDraining(resp *apiclient.Response) bool {
	if resp.Status < http.StatusMultipleChoices {
		return false
	}
	e := apiclient.Problem(resp.Status, resp.Body)
	return e.Code == result.Draining && e.Execution == result.NotRun
}
