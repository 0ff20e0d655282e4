package admin

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/directory"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/settings"
	"github.com/chicorylug/chicorylug/internal/settingstore"
)

func (a *Admin) getSettings(ctx *fasthttp.RequestCtx, _ Principal) {
	var version settings.Version
	if text := string(ctx.QueryArgs().Peek("version")); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeError(ctx, fasthttp.StatusBadRequest, Failure{Code: CodeBadRequest, Message: "version: found " + strconv.Quote(text) + ", want a number"})
			return
		}
		version = settings.Version(number)
	}
	record, err := a.store.Version(context.Background(), version)
	if err != nil {
		writeFailure(ctx, err)
		return
	}
	writeJSON(ctx, record)
}

func (a *Admin) settingsHistory(ctx *fasthttp.RequestCtx, _ Principal) {
	list, err := a.store.History(context.Background())
	if err != nil {
		writeFailure(ctx, err)
		return
	}
	writeJSON(ctx, list)
}

// readChange decodes the change in the request body. When the body is invalid, it
// writes a 400 response and returns false.
func readChange(ctx *fasthttp.RequestCtx) (change settingstore.Change, ok bool) {
	if err := json.Unmarshal(ctx.PostBody(), &change); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, Failure{Code: CodeBadRequest, Message: err.Error()})
		return change, false
	}
	if !change.Scope.Valid() {
		writeError(ctx, fasthttp.StatusBadRequest, Failure{Code: CodeBadRequest, Message: "scope: found " + strconv.Quote(string(change.Scope)) + `, want "", "fleet" or "teams.NAME"`})
		return change, false
	}
	return change, true
}

func (a *Admin) checkSettings(ctx *fasthttp.RequestCtx, _ Principal) {
	change, ok := readChange(ctx)
	if !ok {
		return
	}
	if err := a.store.Check(context.Background(), change); err != nil {
		writeFailure(ctx, err)
		return
	}
	writeJSON(ctx, struct{}{})
}

func (a *Admin) changeSettings(ctx *fasthttp.RequestCtx, principal Principal) {
	change, ok := readChange(ctx)
	if !ok {
		return
	}
	if !principal.CanChange(change.Scope) {
		a.writeForbidden(ctx, principal, change.Scope)
		return
	}
	change.Author = principal.Name
	a.acceptChange(ctx, change)
}

func (a *Admin) acceptChange(ctx *fasthttp.RequestCtx, change settingstore.Change) {
	record, err := a.store.Accept(context.Background(), change)
	if err != nil {
		a.log.Info("settings change rejected", zap.String("step", "accept"), zap.String("author", change.Author), zap.String("scope", change.Scope.String()), zap.Error(err))
		writeFailure(ctx, err)
		return
	}
	writeJSON(ctx, record.Summary())
}

// DrainRequest takes a server out of service, or with Undo returns it to service.
type DrainRequest struct {
	Server model.ServerID `json:"server"`
	// Pool is required only when several pools have a server with the ID.
	Pool model.PoolName `json:"pool,omitempty"`
	Undo bool           `json:"undo,omitempty"`
	// WriteID identifies the settings change, so that a repeated request does not make it
	// twice. The daemon chooses one when it is empty.
	WriteID platform.WriteID `json:"write_id,omitempty"`
}

// maxDrainAttempts bounds the attempts of a drain that conflicts with concurrent
// settings changes.
const maxDrainAttempts = 8

// drain adds a server to the list of drained servers of its pool, or removes it with
// Undo. The list is part of the team's settings.
func (a *Admin) drain(ctx *fasthttp.RequestCtx, principal Principal) {
	var request DrainRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, Failure{Code: CodeBadRequest, Message: err.Error()})
		return
	}
	pool, err := poolOfServer(a.directory.Load(), request)
	if err != nil {
		writeError(ctx, fasthttp.StatusNotFound, Failure{Code: CodeNotFound, Message: err.Error()})
		return
	}
	request.Pool = pool
	if request.WriteID == "" {
		request.WriteID = platform.WriteID(uuid.NewString())
	}
	a.applyDrain(ctx, principal, request)
}

// applyDrain applies the drain to the current settings, and again to the newer ones
// when another change was accepted in between.
func (a *Admin) applyDrain(ctx *fasthttp.RequestCtx, principal Principal, request DrainRequest) {
	for attempt := 1; ; attempt++ {
		record, err := a.store.Version(context.Background(), 0)
		if err != nil {
			writeFailure(ctx, errors.Wrapf(settingstore.ErrNotAccepted, "%v", err))
			return
		}
		change, err := drainChange(record, request)
		if err != nil {
			writeError(ctx, fasthttp.StatusNotFound, Failure{Code: CodeNotFound, Message: err.Error()})
			return
		}
		if !principal.CanChange(change.Scope) {
			a.writeForbidden(ctx, principal, change.Scope)
			return
		}
		change.Author = principal.Name
		accepted, err := a.store.Accept(context.Background(), change)
		var conflict *settingstore.ConflictError
		if errors.As(err, &conflict) && attempt < maxDrainAttempts {
			continue
		}
		if err != nil {
			writeFailure(ctx, err)
			return
		}
		writeJSON(ctx, accepted.Summary())
		return
	}
}

// poolOfServer returns the pool whose current assignment contains the server. With Undo
// and a given pool, the server need not be present.
func poolOfServer(snapshot *directory.Snapshot, request DrainRequest) (model.PoolName, error) {
	var found []model.PoolName
	for name, assignment := range snapshot.Pools {
		if assignment.Server(request.Server) != nil && (request.Pool == "" || request.Pool == name) {
			found = append(found, name)
		}
	}
	switch {
	case len(found) == 1:
		return found[0], nil
	case len(found) > 1:
		return "", errors.Errorf("%d pools have a server %s: name the pool", len(found), request.Server)
	case request.Undo && request.Pool != "":
		return request.Pool, nil
	default:
		return "", errors.Errorf("no pool has a server %s", request.Server)
	}
}

// drainChange returns the settings change that carries out the drain in the subtree of
// the team that owns the pool.
func drainChange(record settingstore.Record, request DrainRequest) (settingstore.Change, error) {
	tree, err := settings.Parse([]byte(record.Tree))
	if err != nil {
		return settingstore.Change{}, err
	}
	for team, subtree := range tree.Teams {
		pool, ok := subtree.Pools[request.Pool]
		if !ok {
			continue
		}
		drained := drainedServers(pool.Drain, request)
		text, err := settings.WithDrain([]byte(record.Tree), team, request.Pool, drained)
		if err != nil {
			return settingstore.Change{}, err
		}
		return settingstore.Change{
			Base:    record.Version,
			Scope:   settings.TeamScope(team),
			File:    "drain",
			Text:    string(text),
			Note:    drainNote(request),
			WriteID: request.WriteID,
		}, nil
	}
	return settingstore.Change{}, errors.Errorf("no team has a pool %s", request.Pool)
}

func drainedServers(drained []model.ServerID, request DrainRequest) []model.ServerID {
	others := slices.DeleteFunc(slices.Clone(drained), func(id model.ServerID) bool { return id == request.Server })
	if request.Undo {
		return others
	}
	return append(others, request.Server)
}

func drainNote(request DrainRequest) string {
	if request.Undo {
		return "server " + string(request.Server) + " back in service"
	}
	return "drain server " + string(request.Server)
}
