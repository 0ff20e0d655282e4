package cli

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/admin"
)

const callTimeout = 20 * time.Second // bound on one call to a daemon

// tokenVariable is the environment variable whose value is the token when no token file
// is given.
const tokenVariable = "CHICORYLUG_TOKEN"

// client calls the admin API of one daemon.
type client struct {
	address string
	scheme  string
	token   string
	http    *fasthttp.Client
}

func (g *Global) client() (*client, error) {
	token, err := g.token()
	if err != nil {
		return nil, err
	}
	c := &client{address: g.Admin, scheme: "http", token: token, http: &fasthttp.Client{MaxIdemponentCallAttempts: 1}}
	if g.CAFile == "" {
		return c, nil
	}
	pem, err := os.ReadFile(g.CAFile)
	if err != nil {
		return nil, &exitError{code: ExitBadUsage, err: errors.Wrap(err, "--ca-file")}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, &exitError{code: ExitBadUsage, err: errors.Errorf("--ca-file: no certificate in %s", g.CAFile)}
	}
	c.scheme = "https"
	c.http.TLSConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	return c, nil
}

// token returns the operator's token, or "" when none is given.
func (g *Global) token() (string, error) {
	if g.TokenFile == "" {
		return os.Getenv(tokenVariable), nil
	}
	text, err := os.ReadFile(g.TokenFile)
	if err != nil {
		return "", &exitError{code: ExitBadUsage, err: errors.Wrap(err, "--token-file")}
	}
	return strings.TrimSpace(string(text)), nil
}

// get sends a GET request to the daemon and decodes the JSON response into out.
func (g *Global) get(path string, query url.Values, out any) error {
	return g.call(fasthttp.MethodGet, path+"?"+query.Encode(), nil, out)
}

// post sends a POST request with a JSON body to the daemon and decodes the JSON response
// into out.
func (g *Global) post(path string, body, out any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	return g.call(fasthttp.MethodPost, path, encoded, out)
}

func (g *Global) call(method, path string, body []byte, out any) error {
	c, err := g.client()
	if err != nil {
		return err
	}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.scheme + "://" + c.address + path)
	req.Header.SetMethod(method)
	req.SetBodyRaw(body)
	if c.token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	}
	if err := c.http.DoTimeout(req, resp, callTimeout); err != nil {
		return &exitError{code: ExitUnreachable, err: errors.Wrapf(err, "ask %s", c.address)}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return c.failure(resp)
	}
	return errors.Wrap(json.Unmarshal(resp.Body(), out), "read the answer")
}

// failure converts a response with a status other than 200 to an error with an exit code.
func (c *client) failure(resp *fasthttp.Response) error {
	failure := &admin.Failure{}
	if err := json.Unmarshal(resp.Body(), failure); err != nil || failure.Code == "" {
		return errors.Errorf("%s answered %d: %s", c.address, resp.StatusCode(), resp.Body())
	}
	return &exitError{code: exitCodeFor(failure.Code), err: failure}
}

func exitCodeFor(code admin.Code) int {
	switch code {
	case admin.CodeConflict:
		return ExitConflict
	case admin.CodeUnauthorized, admin.CodeForbidden:
		return ExitDenied
	case admin.CodeNotAccepted, admin.CodeUnavailable:
		return ExitNotAccepted
	case admin.CodeOutcomeUnknown:
		return ExitOutcomeUnknown
	case admin.CodeBadRequest:
		return ExitBadUsage
	default:
		return ExitFailed
	}
}
