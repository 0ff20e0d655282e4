package main

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// echoLink returns a link to a server that sends back what it receives.
func echoLink(t *testing.T) *Link {
	listener, err := net.Listen("tcp", anyAddress)
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	l, err := newLink(newPorts().next(), listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(l.close)
	return l
}

func dialLink(t *testing.T, l *Link) net.Conn {
	conn, err := net.Dial("tcp", l.address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// echo sends bytes and returns how long their echo took, at most the limit.
func echo(conn net.Conn, size int, limit time.Duration) (time.Duration, error) {
	began := time.Now()
	if err := conn.SetDeadline(began.Add(limit)); err != nil {
		return 0, err
	}
	if _, err := conn.Write(make([]byte, size)); err != nil {
		return 0, err
	}
	_, err := io.ReadFull(conn, make([]byte, size))
	return time.Since(began), err
}

// echoOnce connects and echoes a few bytes.
func echoOnce(l *Link) error {
	conn, err := net.Dial("tcp", l.address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_, err = echo(conn, 10, time.Second)
	return err
}

func TestLinkForwardsAndDelays(t *testing.T) {
	l := echoLink(t)
	conn := dialLink(t, l)
	_, err := echo(conn, 100_000, time.Second)
	must.NoError(t, err)
	end := l.impair(LinkDelay)
	took, err := echo(conn, 10, time.Second)
	must.NoError(t, err)
	must.GreaterEq(t, 2*linkDelay, took)
	must.NoError(t, end())
	end = l.impair(LinkTrickle)
	took, err = echo(conn, 20*trickleBytes, time.Second)
	must.NoError(t, err)
	must.GreaterEq(t, 15*trickleGap, took)
	must.NoError(t, end())
}

func TestConnectionsOfCutLinkAreResetWhenTheCutEnds(t *testing.T) {
	for _, mode := range []LinkMode{LinkCutUp, LinkCutDown, LinkSilence} {
		l := echoLink(t)
		conn := dialLink(t, l)
		_, err := echo(conn, 10, time.Second)
		must.NoError(t, err)
		end := l.impair(mode)
		_, err = echo(conn, 10, 100*time.Millisecond)
		must.ErrorContains(t, err, "timeout", must.Sprint(mode))
		must.NoError(t, end())
		_, err = echo(conn, 10, time.Second)
		must.ErrorContains(t, err, "reset", must.Sprint(mode))
		must.NoError(t, echoOnce(l))
	}
}

func TestResetLinkResetsOpenAndNewConnections(t *testing.T) {
	l := echoLink(t)
	conn := dialLink(t, l)
	_, err := echo(conn, 10, time.Second)
	must.NoError(t, err)
	end := l.impair(LinkReset)
	_, err = echo(conn, 10, time.Second)
	must.Error(t, err)
	must.ErrorContains(t, echoOnce(l), "reset")
	must.NoError(t, end())
	must.NoError(t, echoOnce(l))
}
