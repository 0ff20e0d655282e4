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

// download is an answer that a caller reads slowly.
type download struct {
	answer *http.Response
	read   atomic.Int64
	err    error
	cut    bool // the connection ended before the body did
	done   chan struct{}
}

type downloadOptions struct {
	To   string `long:"to" default:"d1"`
	Rate int64  `long:"rate" default:"1000000" description:"bytes a second"`
}

const downloadPiece = 64 * 1024 // bytes read at one time

// cmdDownload reads large answers slowly:
//
//	download start NAME [--to d1] [--rate BYTES] PATH   begins, and sets NAME_DISPATCHER, and OTHER to a daemon that has no part in it
//	download flowing NAME                               part of the body has come, and not all
//	download whole NAME                                 waits for the end; the body has to be whole
//	download cut NAME                                   waits for the end; the caller has to see an error
func cmdDownload(w *world, ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: download start|flowing|whole|cut NAME")
	}
	name := args[1]
	if args[0] == "start" {
		startDownload(w, ts, name, args[2:])
		return
	}
	d := w.downloads[name]
	switch args[0] {
	case "flowing":
		await(ts, awaitTimeout, "download "+name, func() error {
			if read := d.read.Load(); read == 0 || read >= d.answer.ContentLength {
				return errors.Errorf("%d of %d bytes", read, d.answer.ContentLength)
			}
			return nil
		})
	case "whole":
		<-d.done
		ts.Check(d.err)
	case "cut":
		<-d.done
		if !d.cut {
			ts.Fatalf("download %s ended as if it were whole: %v", name, d.err)
		}
	}
}

func startDownload(w *world, ts *testscript.TestScript, name string, args []string) {
	var o downloadOptions
	rest := parse(ts, &o, args)
	answer, err := http.Get("http://" + w.entries(ts, o.To)[0] + rest[0])
	ts.Check(err)
	if answer.StatusCode != http.StatusOK {
		ts.Fatalf("download %s: status %d", name, answer.StatusCode)
	}
	d := &download{answer: answer, done: make(chan struct{})}
	w.downloads[name] = d
	dispatcher := answer.Header.Get(wire.HeaderDispatcher)
	ts.Setenv(name+"_DISPATCHER", dispatcher)
	ts.Setenv("OTHER", w.uninvolved(o.To, dispatcher))
	go d.run(o.Rate)
}

// uninvolved returns the first daemon that is none of the named ones.
func (w *world) uninvolved(names ...string) string {
	for _, d := range w.daemons {
		if !slices.Contains(names, d.name) {
			return d.name
		}
	}
	return ""
}

// run reads the body at a rate and compares length and digest.
func (d *download) run(rate int64) {
	defer close(d.done)
	defer d.answer.Body.Close()
	sum := sha256.New()
	began := time.Now()
	for {
		count, err := io.CopyN(sum, d.answer.Body, downloadPiece)
		read := d.read.Add(count)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			d.err = err
			d.cut = true
			return
		}
		due := time.Duration(read) * time.Second / time.Duration(rate)
		time.Sleep(due - time.Since(began))
	}
	if got, want := hex.EncodeToString(sum.Sum(nil)), d.answer.Header.Get(wire.HeaderBodySHA256); got != want {
		d.err = errors.Errorf("digest %s, want %s", got, want)
	}
	if length := d.answer.Header.Get("Content-Length"); length != strconv.FormatInt(d.read.Load(), 10) {
		d.err = errors.Errorf("%d bytes, want %s", d.read.Load(), length)
	}
}
