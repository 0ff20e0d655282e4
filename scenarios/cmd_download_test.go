package scenarios

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/chicorylug/chicorylug/internal/wire"
)

func init() { commands["download"] = cmdDownload }

// download is a response that a caller reads slowly.
type download struct {
	response  *http.Response
	bytesRead atomic.Int64
	err       error
	truncated bool // the connection was closed before the end of the body
	done      chan struct{}
}

type downloadOptions struct {
	To   string `long:"to" default:"d1"`
	Rate int64  `long:"rate" default:"1000000" description:"bytes a second"`
}

const downloadChunkBytes = 64 * 1024 // bytes that are read between two delays

// cmdDownload reads large responses slowly:
//
//	download start NAME [--to d1] [--rate BYTES] PATH   starts, and sets NAME_DISPATCHER, and OTHER to a daemon that is neither entry nor dispatcher of the download
//	download flowing NAME                               waits until part of the body has arrived; fails if all of it has
//	download whole NAME                                 waits for the end; the body must be complete
//	download cut NAME                                   waits for the end; the caller must see an error
func cmdDownload(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: download start|flowing|whole|cut NAME")
	}
	name := args[1]
	if args[0] == "start" {
		startDownload(sc, ts, name, args[2:])
		return
	}
	d := sc.downloads[name]
	switch args[0] {
	case "flowing":
		await(ts, awaitTimeout, "download "+name+" in progress", func() error {
			if read := d.bytesRead.Load(); read == 0 || read >= d.response.ContentLength {
				return errors.Errorf("read %d of %d bytes", read, d.response.ContentLength)
			}
			return nil
		})
	case "whole":
		<-d.done
		ts.Check(d.err)
	case "cut":
		<-d.done
		if !d.truncated {
			ts.Fatalf("download %s ended without a connection error: %v", name, d.err)
		}
	}
}

func startDownload(sc *scenario, ts *testscript.TestScript, name string, args []string) {
	var o downloadOptions
	rest := parse(ts, &o, args)
	response, err := http.Get("http://" + sc.callerAddresses(ts, o.To)[0] + rest[0])
	ts.Check(err)
	if response.StatusCode != http.StatusOK {
		ts.Fatalf("download %s: status %d", name, response.StatusCode)
	}
	d := &download{response: response, done: make(chan struct{})}
	sc.downloads[name] = d
	dispatcher := response.Header.Get(wire.HeaderDispatcher)
	ts.Setenv(name+"_DISPATCHER", dispatcher)
	ts.Setenv("OTHER", sc.daemonExcept(o.To, dispatcher))
	go d.run(o.Rate)
}

// daemonExcept returns the name of the first daemon that is not among names.
func (sc *scenario) daemonExcept(names ...string) string {
	for _, d := range sc.daemons {
		if !slices.Contains(names, d.name) {
			return d.name
		}
	}
	return ""
}

// run reads the body at a rate in bytes per second, then compares its digest and
// length with the headers.
func (d *download) run(rate int64) {
	defer close(d.done)
	defer d.response.Body.Close()
	hash := sha256.New()
	start := time.Now()
	for {
		count, err := io.CopyN(hash, d.response.Body, downloadChunkBytes)
		read := d.bytesRead.Add(count)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			d.err = err
			d.truncated = true
			return
		}
		due := time.Duration(read) * time.Second / time.Duration(rate)
		time.Sleep(due - time.Since(start))
	}
	if got, want := hex.EncodeToString(hash.Sum(nil)), d.response.Header.Get(wire.HeaderBodySHA256); got != want {
		d.err = errors.Errorf("body has SHA-256 %s, want %s", got, want)
	}
	if length := d.response.Header.Get("Content-Length"); length != strconv.FormatInt(d.bytesRead.Load(), 10) {
		d.err = errors.Errorf("body has %d bytes, want %s", d.bytesRead.Load(), length)
	}
}
