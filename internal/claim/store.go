package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// Limits of the store.
const (
	// Retention is the time for which a claim is kept before the sweeper removes it.
	Retention = 30 * 24 * time.Hour
	// MaxRowBodyBytes is the size of the largest response body that is stored in the row.
	MaxRowBodyBytes = 4 * 1024
	// MaxObjectBodyBytes is the size of the largest response body that is stored in
	// the object store.
	MaxObjectBodyBytes = 1024 * 1024

	claimTimeout         = time.Second            // time limit of all table calls that claim a request
	recordTimeout        = time.Second            // time limit of one attempt to write an outcome
	backgroundAttempts   = 8                      // attempts to write an outcome in the background
	backgroundFirstPause = 250 * time.Millisecond // pause before the first of these attempts; it doubles after each
	backgroundMaxPause   = 15 * time.Second       // maximum pause before an attempt
	maxBackgroundTasks   = 256                    // outcomes that are written in the background at the same time
)

// ErrStoreUnavailable says that the platform could not be read or written, so that
// it is unknown whether the claim was made. The request must not be dispatched.
var ErrStoreUnavailable = errors.New("claim: the platform is unavailable")

// Store claims requests and records their outcomes.
type Store struct {
	holder          model.DaemonID
	platform        platform.Platform
	log             *zap.Logger
	backgroundTasks chan struct{} // one element for each running background task
	counters        counters
	eras            eraState
	recent          recentClaims
}

// New returns a store whose claims are held by the daemon that c names.
func New(c *config.Config, p platform.Platform, registry *metrics.Registry, log *zap.Logger) *Store {
	s := &Store{
		holder:          c.Name,
		platform:        p,
		log:             log.Named("claim"),
		backgroundTasks: make(chan struct{}, maxBackgroundTasks),
		counters:        newCounters(registry),
		recent:          recentClaims{claims: map[*Claim]time.Time{}},
	}
	p.OnEra(s.noticeEra)
	return s
}

// Request describes a request to be claimed.
type Request struct {
	Key         Key
	Fingerprint Fingerprint
	Request     model.RequestID
	// DispatchBy is the time after which the holder does not dispatch the request.
	DispatchBy time.Time
}

// Claim is a claim that this daemon holds.
type Claim struct {
	store *Store
	key   Key

	mu      sync.Mutex          // held while the row is written and read
	held    bool                // the row was written: the request may be dispatched
	era     platform.Era        // in which this daemon last wrote the row
	version platform.RowVersion // of the row as this daemon last wrote it
	record  Record
}

// Claim claims a request. It returns the claim if this daemon now holds it, or the
// record of an earlier request with the same key. If it can't tell, the error is
// ErrStoreUnavailable; a record that can't be decoded is another error.
func (s *Store) Claim(ctx context.Context, r Request) (*Claim, *Record, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	era, err := s.settledEra(ctx)
	if err != nil {
		return nil, nil, err
	}
	c := &Claim{store: s, key: r.Key, era: era, record: Record{
		State:        Claimed,
		Fingerprint:  r.Fingerprint,
		Holder:       s.holder,
		Request:      r.Request,
		ClaimedMS:    time.Now().UnixMilli(),
		DispatchByMS: r.DispatchBy.UnixMilli(),
		Era:          era,
	}}
	err = c.acquire(ctx, 0)
	if err == nil {
		return c, nil, nil
	}
	if !errors.Is(err, platform.ErrConflict) {
		return nil, nil, err
	}
	return s.claimReleased(ctx, c)
}

// claimReleased reads the existing record after a conflict. If it was released by
// a request with the same fingerprint, it claims the row; otherwise it returns the
// record.
func (s *Store) claimReleased(ctx context.Context, c *Claim) (*Claim, *Record, error) {
	version, found, err := s.read(ctx, c.key, c.era)
	if err != nil {
		return nil, nil, err
	}
	if found.State != Released || found.Fingerprint != c.record.Fingerprint {
		return nil, found, nil
	}
	err = c.acquire(ctx, version)
	if err == nil {
		return c, nil, nil
	}
	if !errors.Is(err, platform.ErrConflict) {
		return nil, nil, err
	}
	_, found, err = s.read(ctx, c.key, c.era)
	return nil, found, err
}

// read reads the record of a claim in an era.
func (s *Store) read(ctx context.Context, key Key, era platform.Era) (platform.RowVersion, *Record, error) {
	s.counters.reads.Add(1)
	row, err := s.platform.Get(ctx, string(key))
	if err != nil {
		return 0, nil, errors.Wrapf(ErrStoreUnavailable, "read the row of the claim: %v", err)
	}
	if row.Era != era {
		return 0, nil, errors.Wrapf(ErrStoreUnavailable, "read the row of the claim: era %d, want %d", row.Era, era)
	}
	record, err := decode(row.Value)
	return row.Version, record, err
}

// acquire writes the claim if the row has the expected version, zero for no row. It
// returns platform.ErrConflict if the row has another version. When it stays unknown
// whether the write took effect, the request is not dispatched, and a background
// task releases the claim if it was written.
func (c *Claim) acquire(ctx context.Context, expect platform.RowVersion) error {
	// The claim is remembered before the write: a later era that is noticed earlier
	// fails the write, and one that is noticed later finds the claim.
	c.store.remember(c)
	err := c.tryAcquire(ctx, expect)
	if err != nil {
		c.store.forget(c)
	}
	return err
}

// tryAcquire does the work of acquire.
func (c *Claim) tryAcquire(ctx context.Context, expect platform.RowVersion) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	write, err := c.newWrite(expect)
	if err != nil {
		return err
	}
	version, err := platform.WriteAndConfirm(ctx, c.store.platform, write)
	switch {
	case err == nil:
		c.version, c.held = version, true
		return nil
	case errors.Is(err, platform.ErrConflict):
		return platform.ErrConflict
	case errors.Is(err, platform.ErrAmbiguous), errors.Is(err, platform.ErrOtherEra):
		c.store.retryInBackground(func() bool { return c.releaseIfWritten(write) })
	}
	return errors.Wrapf(ErrStoreUnavailable, "write the row of the claim: %v", err)
}

func (c *Claim) newWrite(expect platform.RowVersion) (platform.Write, error) {
	c.store.counters.writes.Add(1)
	value, err := c.record.encode()
	return platform.Write{
		Key:     string(c.key),
		Value:   value,
		Expect:  expect,
		WriteID: platform.WriteID(uuid.NewString()),
		Era:     c.era,
	}, err
}

// releaseIfWritten releases a claim if the given write took effect. It returns false
// if that could not be found out or done yet, and must then be called again.
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
	c.setVersion(row)
	return c.Release(ctx) == nil
}

// setVersion records the row as read in the claim's present state.
func (c *Claim) setVersion(row platform.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.era, c.version = row.Era, row.Version
}

// setState changes the state to be written.
func (c *Claim) setState(state State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.State = state
}

// Release records that the request provably did not run, so that a repeat may run.
func (c *Claim) Release(ctx context.Context) error {
	c.setState(Released)
	return c.save(ctx)
}

// RecordUnknown records that the request may have run and that no complete response
// arrived.
func (c *Claim) RecordUnknown(ctx context.Context) error {
	c.setState(Unknown)
	return c.save(ctx)
}

// Complete records the response. Bodies up to MaxObjectBodyBytes are stored.
func (c *Claim) Complete(ctx context.Context, response *Response) error {
	completed := c.record
	completed.State = Completed
	completed.BodyBytes = int64(len(response.Body))
	completed.BodySHA256 = digest(response.Body)
	c.store.storeResponse(ctx, &completed, response)
	c.setRecord(completed)
	return c.save(ctx)
}

// CompleteWithoutBody records that a server responded, with the status only.
func (c *Claim) CompleteWithoutBody(ctx context.Context, status int) error {
	completed := c.record
	completed.State = Completed
	completed.ResponseLocation = ResponseNotStored
	completed.Response = &Response{Status: status}
	c.setRecord(completed)
	return c.save(ctx)
}

// setRecord replaces the record to be written.
func (c *Claim) setRecord(r Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record = r
}

// storeResponse adds the response to a record: a small body goes into the row, a
// larger one into the object store. A failure of the object store is only logged.
func (s *Store) storeResponse(ctx context.Context, record *Record, response *Response) {
	stored := *response
	stored.Body = nil
	record.Response = &stored
	if len(response.Body) <= MaxRowBodyBytes {
		stored.Body = response.Body
		record.ResponseLocation = ResponseInRow
		return
	}
	record.ResponseLocation = ResponseNotStored
	if len(response.Body) > MaxObjectBodyBytes {
		return
	}
	name := objectPrefix + string(record.Request)
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	s.counters.writes.Add(1)
	if err := s.platform.PutObject(ctx, name, response.Body); err != nil {
		s.log.Warn("response body not stored; repeats of the request get no response", zap.String("step", "put object"), zap.String("peer", "platform"), zap.Error(err))
		return
	}
	record.ResponseLocation = ResponseInObject
	record.Object = name
}

// save writes the record if the row still has the version that the claim wrote last.
// After an error other than a conflict the write is also retried in the background.
func (c *Claim) save(ctx context.Context) error {
	err := c.saveOnce(ctx)
	if err == nil || errors.Is(err, platform.ErrConflict) {
		return err
	}
	c.store.retryInBackground(func() bool {
		err := c.saveOnce(context.Background())
		return err == nil || errors.Is(err, platform.ErrConflict)
	})
	return err
}

// saveOnce writes the record once. Only the holder writes the row of a claim, so a
// conflict means that an earlier attempt took effect although its result was lost,
// and that the row is already in the wanted state. If the store has come back from an
// older copy since the last write, the row is read first.
func (c *Claim) saveOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	write, err := c.newWrite(c.version)
	if err != nil {
		return err
	}
	version, err := platform.WriteAndConfirm(ctx, c.store.platform, write)
	if errors.Is(err, platform.ErrOtherEra) {
		return c.writeAgain(ctx)
	}
	if err != nil {
		return err
	}
	c.version = version
	return nil
}

// LoadResponse returns the stored response of a completed record. It returns
// platform.ErrNotFound if the response is not stored or its body does not match the
// recorded digest, and ErrStoreUnavailable if the object store can't be read.
func (s *Store) LoadResponse(ctx context.Context, r *Record) (*Response, error) {
	switch r.ResponseLocation {
	case ResponseInRow:
		return r.Response, nil
	case ResponseInObject:
		return s.loadObject(ctx, r)
	default:
		return nil, platform.ErrNotFound
	}
}

func (s *Store) loadObject(ctx context.Context, r *Record) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	s.counters.reads.Add(1)
	body, err := s.platform.GetObject(ctx, r.Object)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, platform.ErrNotFound
	}
	if err != nil {
		return nil, errors.Wrapf(ErrStoreUnavailable, "read the stored response body: %v", err)
	}
	if digest(body) != r.BodySHA256 {
		return nil, platform.ErrNotFound
	}
	response := *r.Response
	response.Body = body
	return &response, nil
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// retryInBackground calls f, with a growing pause before each call, until it returns
// true or backgroundAttempts calls were made. It does nothing if too many background
// tasks are running. The counter unrecorded counts the tasks that did not succeed.
func (s *Store) retryInBackground(f func() bool) {
	select {
	case s.backgroundTasks <- struct{}{}:
	default:
		s.counters.unrecorded.Add(1)
		return
	}
	go func() {
		defer func() { <-s.backgroundTasks }()
		pause := backgroundFirstPause
		for range backgroundAttempts {
			time.Sleep(pause)
			if f() {
				return
			}
			pause = min(2*pause, backgroundMaxPause)
		}
		s.counters.unrecorded.Add(1)
	}()
}
