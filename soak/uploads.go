package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Uploads in pieces.
const (
	uploadPieces     = 8
	uploadPieceBytes = 4 << 10
	maxPieceGap      = 150 * time.Millisecond // between two pieces
	uploadPause      = 100 * time.Millisecond // between two uploads to a daemon
)

// upload sends uploads in pieces to each daemon, until ctx is done. Each goes to the route that
// only the newest version of the configuration has, which may be dropped meanwhile.
func upload(ctx context.Context, f *Fleet, seed uint64) {
	var all sync.WaitGroup
	for i, d := range f.daemons {
		u := &uploader{daemon: d, monitor: f.monitor, rng: rand.New(rand.NewPCG(seed, uint64(callerCount+i)))}
		all.Go(func() { u.run(ctx) })
	}
	all.Wait()
}

// uploader sends uploads to one daemon, one after the other.
type uploader struct {
	daemon  *daemonProc
	monitor *Monitor
	rng     *rand.Rand
	uploads int
}

func (u *uploader) run(ctx context.Context) {
	for ctx.Err() == nil {
		if incarnation, running := u.daemon.current(); running {
			u.send(incarnation)
		}
		time.Sleep(uploadPause)
	}
}

// send sends one upload. One that fails is no finding.
func (u *uploader) send(incarnation int) {
	conn, err := net.DialTimeout("tcp", u.daemon.config.CallerAddress, connectLimit)
	if err != nil {
		return // the daemon has not started yet, or has ended
	}
	defer func() { _ = conn.Close() }() // its end is no finding
	u.uploads++
	version := u.monitor.newestVersion()
	o := Outcome{ID: fmt.Sprintf("%s-upload-%d", u.daemon.name, u.uploads), Daemon: u.daemon.name, Incarnation: incarnation}
	u.monitor.Requested(plainService, time.Now())
	if u.writePieces(conn, probePrefix(version), o.ID) != nil {
		return
	}
	o.Sent = time.Now()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if resp.Read(bufio.NewReader(conn)) != nil {
		return
	}
	o.Status = resp.StatusCode()
	u.monitor.checkUpload(o, version)
}

// writePieces sends a request whose body comes in chunks with gaps between them.
func (u *uploader) writePieces(conn net.Conn, path, id string) error {
	if err := conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	fillRequest(req, fasthttp.MethodPost, path, id, maxDeadline)
	req.Header.SetContentLength(-1) // in chunks
	if _, err := conn.Write(req.Header.Header()); err != nil {
		return err
	}
	gap := time.Duration(u.rng.Int64N(int64(maxPieceGap)))
	piece := strings.Repeat("p", uploadPieceBytes)
	for range uploadPieces {
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece); err != nil {
			return err
		}
		time.Sleep(gap)
	}
	_, err := conn.Write([]byte("0\r\n\r\n"))
	return err
}

// usedVersion is a version of the configuration that a process was seen to use first at a time.
type usedVersion struct {
	incarnation int
	version     int
	seen        time.Time
}

// Used records that a daemon was seen to use a version that is newer than those before.
func (m *Monitor) Used(daemon string, used usedVersion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used[daemon] = append(m.used[daemon], used)
}

// checkUpload checks that a daemon ran no upload on the route of a version when it had used a
// newer one, which does not have the route, before the last byte came.
func (m *Monitor) checkUpload(o Outcome, version int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Status != fasthttp.StatusOK {
		return
	}
	for _, used := range m.used[o.Daemon] {
		before := o.Sent.Sub(used.seen)
		if used.incarnation == o.Incarnation && used.version > version && before > rollbackSlack {
			m.breakPromise("settings went back", o.ID, "%s ran an upload on the route of version %d, and had used version %d %v before the last byte came",
				o.Daemon, version, used.version, before.Round(time.Millisecond))
			return
		}
	}
}
