// Package settingstore keeps the settings tree in the platform's table and puts
// accepted versions in force on this daemon.
package settingstore

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/control"
	"github.com/chicorylug/chicorylug/internal/directory"
	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/member"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/settings"
)

// ServiceName is the service's name in the kernel.
const ServiceName kernel.Name = "settings"

const (
	rowKey     = "settings/tree"
	pollPeriod = 500 * time.Millisecond // time between two reads of the table
)

// Seed writes the first tree of an empty table.
func Seed(ctx context.Context, table platform.Table, tree []byte) error {
	_, err := table.CompareAndSet(ctx, platform.Write{
		Key:     rowKey,
		Value:   tree,
		WriteID: platform.WriteID(uuid.NewString()),
	})
	return errors.Wrap(err, "accept the first settings")
}

// Store puts the table's tree in force.
type Store struct {
	loop      *control.Loop
	table     platform.Platform
	directory *directory.Directory
	log       *zap.Logger

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New returns a store that is not yet started.
func New(loop *control.Loop, table platform.Platform, dir *directory.Directory, log *zap.Logger) *Store {
	return &Store{loop: loop, table: table, directory: dir, log: log.Named(string(ServiceName))}
}

// Name implements kernel.Service.
func (s *Store) Name() kernel.Name { return ServiceName }

// After implements kernel.Service.
func (s *Store) After() []kernel.Name { return []kernel.Name{member.ServiceName} }

// Ready implements kernel.Service.
func (s *Store) Ready() error {
	if s.directory.Load().Settings == nil {
		return errors.New("no settings in force")
	}
	return nil
}

// Start implements kernel.Service.
func (s *Store) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Add(1)
	go s.run(ctx)
	return nil
}

// Stop implements kernel.Service.
func (s *Store) Stop(context.Context) error {
	s.cancel()
	s.done.Wait()
	return nil
}

func (s *Store) run(ctx context.Context) {
	defer s.done.Done()
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		if err := s.read(ctx); err != nil {
			s.log.Debug("settings not read", zap.String("step", "read"), zap.String("peer", "platform"), zap.Error(err))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Store) read(ctx context.Context) error {
	row, err := s.table.Get(ctx, rowKey)
	if err != nil {
		return err
	}
	version := settings.Version(row.Version)
	if current := s.directory.Load().Settings; current != nil && current.Version >= version {
		return nil
	}
	tree, err := settings.Parse(row.Value)
	if err != nil {
		return err
	}
	compiled, err := settings.Compile(tree, version)
	if err != nil {
		return err
	}
	return s.loop.Call(ctx, func() { s.directory.PublishSettings(compiled) })
}
