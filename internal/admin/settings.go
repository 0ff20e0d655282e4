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

// readChange reads the change from the body, or answers with a failure.
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

func (a *Admin) changeSettings(ctx *fasthttp.RequestCtx, who Principal) {
	change, ok := readChange(ctx)
	if !ok {
		return
	}
	if !who.CanChange(change.Scope) {
		a.forbid(ctx, who, change.Scope)
		return
	}
	change.Author = who.Name
	a.accept(ctx, change)
}

func (a *Admin) accept(ctx *fasthttp.RequestCtx, change settingstore.Change) {
	record, err := a.store.Accept(context.Background(), change)
	if err != nil {
		a.log.Info("settings refused", zap.String("step", "accept"), zap.String("author", change.Author), zap.String("scope", change.Scope.String()), zap.Error(err))
		writeFailure(ctx, err)
		return
	}
	writeJSON(ctx, record.Summary())
}

// DrainRequest takes a server out of service, or back with Undo.
type DrainRequest struct {
	Server model.ServerID `json:"server"`
	// Pool is needed only when servers of several pools have the name.
	Pool    model.PoolName   `json:"pool,omitempty"`
	Undo    bool             `json:"undo,omitempty"`
	WriteID platform.WriteID `json:"write_id,omitempty"`
}

// drainTries bounds the races that a drain may lose against other changes.
const drainTries = 8

// drain changes the pool's list of drained servers in the team's subtree.
func (a *Admin) drain(ctx *fasthttp.RequestCtx, who Principal) {
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
	a.drainIn(ctx, who, request)
}

func (a *Admin) drainIn(ctx *fasthttp.RequestCtx, who Principal, request DrainRequest) {
	for try := 1; ; try++ {
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
		if !who.CanChange(change.Scope) {
			a.forbid(ctx, who, change.Scope)
			return
		}
		change.Author = who.Name
		accepted, err := a.store.Accept(context.Background(), change)
		var conflict *settingstore.ConflictError
		if errors.As(err, &conflict) && try < drainTries {
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

// poolOfServer finds the pool that has the server now.
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

// drainChange renders the change of the team's subtree.
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
