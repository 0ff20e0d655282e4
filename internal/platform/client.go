package platform

import (
	"context"
	"encoding/json"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// HTTP paths of the platform's protocol. Values travel as JSON.
const (
	PathRow       = "/table/row"     // GET ?key=, POST a Write, DELETE ?key=&expect=
	PathRows      = "/table/rows"    // GET ?prefix=&limit=
	PathObject    = "/objects"       // GET and PUT ?name=
	PathInstances = "/instances"     // GET
	clientMaxBody = 64 * 1024 * 1024 // bytes
	clientTimeout = 2 * time.Second  // bound of one call without a sooner deadline
	clientIdle    = 30 * time.Second // idle connections are closed after this
	clientConns   = 32               // connections to the platform from one daemon
)

// Client speaks the platform's HTTP protocol.
type Client struct {
	base string
	http *fasthttp.Client
}

// NewClient returns a client for the platform at address (host:port).
func NewClient(address string, dial func(addr string) (net.Conn, error)) *Client {
	return &Client{
		base: "http://" + address,
		http: &fasthttp.Client{
			Dial:                      dial,
			MaxConnsPerHost:           clientConns,
			MaxIdleConnDuration:       clientIdle,
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       clientMaxBody,
			RetryIfErr:                neverRetry,
		},
	}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

type call struct {
	method string
	path   string
	query  url.Values
	body   any
}

// do performs one call and decodes a 200 answer into out.
func (c *Client) do(ctx context.Context, what call, out any) error {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + what.path + "?" + what.query.Encode())
	req.Header.SetMethod(what.method)
	if err := setBody(req, what.body); err != nil {
		return err
	}
	if err := c.http.DoDeadline(req, resp, deadlineOf(ctx)); err != nil {
		return transportError(what, err)
	}
	return decodeAnswer(what, resp, out)
}

func setBody(req *fasthttp.Request, body any) error {
	switch b := body.(type) {
	case nil:
		return nil
	case []byte:
		req.SetBodyRaw(b)
		return nil
	default:
		encoded, err := json.Marshal(b)
		if err != nil {
			return errors.Wrap(err, "platform: encode")
		}
		req.SetBodyRaw(encoded)
		return nil
	}
}

func deadlineOf(ctx context.Context) time.Time {
	latest := time.Now().Add(clientTimeout)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(latest) {
		return deadline
	}
	return latest
}

// transportError maps a failed exchange: a dial that failed wrote nothing.
func transportError(what call, err error) error {
	var op *net.OpError
	notSent := errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) ||
		(errors.As(err, &op) && op.Op == "dial")
	if notSent || what.method == fasthttp.MethodGet {
		return errors.Wrapf(ErrUnavailable, "%s %s: %v", what.method, what.path, err)
	}
	return errors.Wrapf(ErrAmbiguous, "%s %s: %v", what.method, what.path, err)
}

func decodeAnswer(what call, resp *fasthttp.Response, out any) error {
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return decodeBody(resp.Body(), out)
	case fasthttp.StatusNotFound:
		return ErrNotFound
	case fasthttp.StatusConflict:
		return ErrConflict
	case fasthttp.StatusServiceUnavailable:
		return errors.Wrapf(ErrUnavailable, "%s %s", what.method, what.path)
	case fasthttp.StatusGatewayTimeout:
		return errors.Wrapf(ErrAmbiguous, "%s %s", what.method, what.path)
	default:
		return errors.Errorf("platform: %s %s: status %d: %s", what.method, what.path, resp.StatusCode(), resp.Body())
	}
}

func decodeBody(body []byte, out any) error {
	switch target := out.(type) {
	case nil:
		return nil
	case *[]byte:
		*target = append([]byte(nil), body...)
		return nil
	default:
		return errors.Wrap(json.Unmarshal(body, out), "platform: decode")
	}
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.do(ctx, call{method: fasthttp.MethodGet, path: PathRow, query: url.Values{"key": {key}}}, &row)
	return row, err
}

// CompareAndSet implements Table.
func (c *Client) CompareAndSet(ctx context.Context, w Write) (RowVersion, error) {
	var row Row
	err := c.do(ctx, call{method: fasthttp.MethodPost, path: PathRow, body: w}, &row)
	return row.Version, err
}

// List implements Table.
func (c *Client) List(ctx context.Context, prefix string, limit int) ([]Row, error) {
	var rows []Row
	query := url.Values{"prefix": {prefix}, "limit": {strconv.Itoa(limit)}}
	err := c.do(ctx, call{method: fasthttp.MethodGet, path: PathRows, query: query}, &rows)
	return rows, err
}

// Delete implements Table.
func (c *Client) Delete(ctx context.Context, key string, expect RowVersion) error {
	query := url.Values{"key": {key}, "expect": {strconv.FormatUint(uint64(expect), 10)}}
	return c.do(ctx, call{method: fasthttp.MethodDelete, path: PathRow, query: query}, nil)
}

// PutObject implements ObjectStore.
func (c *Client) PutObject(ctx context.Context, name string, body []byte) error {
	return c.do(ctx, call{method: fasthttp.MethodPut, path: PathObject, query: url.Values{"name": {name}}, body: body}, nil)
}

// GetObject implements ObjectStore.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	var body []byte
	err := c.do(ctx, call{method: fasthttp.MethodGet, path: PathObject, query: url.Values{"name": {name}}}, &body)
	return body, err
}

// Instances implements InstanceList.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var list []Instance
	err := c.do(ctx, call{method: fasthttp.MethodGet, path: PathInstances}, &list)
	return list, err
}
