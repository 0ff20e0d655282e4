package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// Bounds.
const (
	// Retention is the time for which a claim is kept.
	Retention = 30 * 24 * time.Hour
	// MaxRowBodyBytes is the largest body kept in the row itself.
	MaxRowBodyBytes = 4 * 1024
	// MaxObjectBodyBytes is the largest body kept in the object store.
	MaxObjectBodyBytes = 1024 * 1024

	claimTimeout  = time.Second            // bound of the table calls that claim a request
	recordTimeout = time.Second            // bound of one try to write an outcome
	settleTries   = 8                      // tries to write an outcome in the background
	settleFirst   = 250 * time.Millisecond // pause before the second of these tries
	settleLimit   = 15 * time.Second       // longest pause between them
	settleCount   = 256                    // outcomes that are written in the background at one time
)

// ErrStoreUnavailable says that the table did not tell whether the claim was made. The
// request must not be dispatched.
var ErrStoreUnavailable = errors.New("claim: the table is not available")

// Store claims requests and records their outcomes.
type Store struct {
	holder   model.DaemonID
	platform platform.Platform
	log      *zap.Logger
	settling chan struct{}
	counters counters
}

// New returns a store that claims in the name of a daemon.
func New(c *config.Config, p platform.Platform, registry *metrics.Registry, log *zap.Logger) *Store {
	return &Store{
		holder:   c.Name,
		platform: p,
		log:      log.Named("claim"),
		settling: make(chan struct{}, settleCount),
		counters: newCounters(registry),
	}
}

// Request is what is claimed.
type Request struct {
	Key         Key
	Fingerprint Fingerprint
	Request     model.RequestID
	// DispatchBy is the time after which the holder does not dispatch the request.
	DispatchBy time.Time
}

// Claim is a claim that this daemon holds.
type Claim struct {
	store   *Store
	key     Key
	version platform.RowVersion
	record  Record
}

// Claim claims a request. It returns the claim when this daemon holds it now,
// or the record of the earlier request under the same key, or ErrStore.
func (s *Store) Claim(ctx context.Context, r Request) (*Claim, *Record, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	c := &Claim{store: s, key: r.Key, record: Record{
		State:        Claimed,
		Fingerprint:  r.Fingerprint,
		Holder:       s.holder,
		Request:      r.Request,
		ClaimedMS:    time.Now().UnixMilli(),
		DispatchByMS: r.DispatchBy.UnixMilli(),
	}}
	err := c.take(ctx, 0)
	if err == nil {
		return c, nil, nil
	}
	if !errors.Is(err, platform.ErrConflict) {
		return nil, nil, err
	}
	return s.retake(ctx, c)
}

// retake reads the record that is in the way and claims anew if it was released.
func (s *Store) retake(ctx context.Context, c *Claim) (*Claim, *Record, error) {
	version, found, err := s.read(ctx, c.key)
	if err != nil {
		return nil, nil, err
	}
	if found.State != Released || found.Fingerprint != c.record.Fingerprint {
		return nil, found, nil
	}
	err = c.take(ctx, version)
	if err == nil {
		return c, nil, nil
	}
	if !errors.Is(err, platform.ErrConflict) {
		return nil, nil, err
	}
	_, found, err = s.read(ctx, c.key)
	return nil, found, err
}

func (s *Store) read(ctx context.Context, key Key) (platform.RowVersion, *Record, error) {
	s.counters.reads.Add(1)
	row, err := s.platform.Get(ctx, string(key))
	if err != nil {
		return 0, nil, errors.Wrapf(ErrStoreUnavailable, "read the claim: %v", err)
	}
	record, err := decode(row.Value)
	return row.Version, record, err
}

// take writes the claim over the expected version. An answer that stays
// ambiguous is settled in the background: should the write have taken effect,
// the claim is released, for the request is not dispatched.
func (c *Claim) take(ctx context.Context, expect platform.RowVersion) error {
	write, err := c.write(expect)
	if err != nil {
		return err
	}
	version, err := platform.Resolve(ctx, c.store.platform, write)
	switch {
	case err == nil:
		c.version = version
		return nil
	case errors.Is(err, platform.ErrConflict):
		return platform.ErrConflict
	case errors.Is(err, platform.ErrAmbiguous):
		c.store.background(func() bool { return c.releaseIfWritten(write) })
	}
	return errors.Wrapf(ErrStoreUnavailable, "write the claim: %v", err)
}

func (c *Claim) write(expect platform.RowVersion) (platform.Write, error) {
	c.store.counters.writes.Add(1)
	value, err := c.record.encode()
	return platform.Write{
		Key:     string(c.key),
		Value:   value,
		Expect:  expect,
		WriteID: platform.WriteID(uuid.NewString()),
	}, err
}

// releaseIfWritten releases a claim whose write was given up. It returns true
// when nothing is left to do.
func (c *Claim) releaseIfWritten(write platform.Write) bool {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	c.store.counters.reads.Add(1)
	row, err := c.store.platform.Get(ctx, write.Key)
	if err != nil || row.Version <= write.Expect {
		return false
	}
	if row.WriteID != write.WriteID {
		return true
	}
	c.version = row.Version
	return c.Release(ctx) == nil
}

// Release marks that the request provably did not run, so that a repeat may run.
func (c *Claim) Release(ctx context.Context) error {
	c.record.State = Released
	return c.save(ctx)
}

// RecordUnknown records that the request may have run and no whole answer came.
func (c *Claim) RecordUnknown(ctx context.Context) error {
	c.record.State = Unknown
	return c.save(ctx)
}

// Complete records the answer. Bodies up to ObjectBodyBytes are kept.
func (c *Claim) Complete(ctx context.Context, answer *Answer) error {
	c.record.State = Completed
	c.record.BodyBytes = int64(len(answer.Body))
	c.record.BodySHA256 = digest(answer.Body)
	c.keep(ctx, answer)
	return c.save(ctx)
}

// CompleteWithoutBody records that a server answered, without the answer's body.
func (c *Claim) CompleteWithoutBody(ctx context.Context, status int) error {
	c.record.State = Completed
	c.record.AnswerLocation = KeptNowhere
	c.record.Answer = &Answer{Status: status}
	return c.save(ctx)
}

// keep puts a small body into the row and a larger one into the object store.
func (c *Claim) keep(ctx context.Context, answer *Answer) {
	head := *answer
	head.Body = nil
	c.record.Answer = &head
	if len(answer.Body) <= MaxRowBodyBytes {
		head.Body = answer.Body
		c.record.AnswerLocation = KeptInRow
		return
	}
	c.record.AnswerLocation = KeptNowhere
	if len(answer.Body) > MaxObjectBodyBytes {
		return
	}
	name := objectPrefix + string(c.record.Request)
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	c.store.counters.writes.Add(1)
	if err := c.store.platform.PutObject(ctx, name, answer.Body); err != nil {
		c.store.log.Warn("answer not kept", zap.String("step", "put object"), zap.String("peer", "platform"), zap.Error(err))
		return
	}
	c.record.AnswerLocation = KeptInObject
	c.record.Object = name
}

// save writes the record over the held version. When that fails, the write
// is tried again in the background.
func (c *Claim) save(ctx context.Context) error {
	err := c.tryRecord(ctx)
	if err == nil || errors.Is(err, platform.ErrConflict) {
		return err
	}
	c.store.background(func() bool {
		err := c.tryRecord(context.Background())
		return err == nil || errors.Is(err, platform.ErrConflict)
	})
	return err
}

// tryRecord writes the record once. The held version only changes by the
// holder's own writes, so an attempt whose answer was lost shows as a conflict
// with a row of the wanted state.
func (c *Claim) tryRecord(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	write, err := c.write(c.version)
	if err != nil {
		return err
	}
	version, err := platform.Resolve(ctx, c.store.platform, write)
	if err != nil {
		return err
	}
	c.version = version
	return nil
}

// LoadAnswer returns the kept answer of a completed record, or ErrStore or
// platform.ErrNotFound when it was not kept.
func (s *Store) LoadAnswer(ctx context.Context, r *Record) (*Answer, error) {
	switch r.AnswerLocation {
	case KeptInRow:
		return r.Answer, nil
	case KeptInObject:
		return s.loadObject(ctx, r)
	default:
		return nil, platform.ErrNotFound
	}
}

func (s *Store) loadObject(ctx context.Context, r *Record) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	s.counters.reads.Add(1)
	body, err := s.platform.GetObject(ctx, r.Object)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, platform.ErrNotFound
	}
	if err != nil {
		return nil, errors.Wrapf(ErrStoreUnavailable, "read the kept answer: %v", err)
	}
	if digest(body) != r.BodySHA256 {
		return nil, platform.ErrNotFound
	}
	answer := *r.Answer
	answer.Body = body
	return &answer, nil
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// background calls f until it returns true or the tries are used up.
func (s *Store) background(f func() bool) {
	select {
	case s.settling <- struct{}{}:
	default:
		s.counters.unsettled.Add(1)
		return
	}
	go func() {
		defer func() { <-s.settling }()
		pause := settleFirst
		for range settleTries {
			time.Sleep(pause)
			if f() {
				return
			}
			pause = min(2*pause, settleLimit)
		}
		s.counters.unsettled.Add(1)
	}()
}
