package settings_test

import (
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/jsonc"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/settings"
)

const validTree = `{
  "fleet": {"ranks": [
    {"name": "urgent", "target_ms": 100, "floor_percent": 0},
    {"name": "bulk", "target_ms": 1000, "floor_percent": 20}
  ]},
  "teams": {
    "orders": {
      "pools": {"drafts": {"keyed": true, "shards": 16, "slots": 3, "connections": 300}},
      "routes": [{"name": "read", "methods": ["GET"], "path": "/drafts/{key}", "pool": "drafts", "rank": "urgent"}]
    },
    "surveys": {
      "pools": {"plans": {"slots": 3, "connections": 30}},
      "routes": [{"name": "send", "methods": ["PUT"], "path": "/plans/{key}", "pool": "plans", "rank": "bulk"}]
    }
  }
}`

var liveServers = map[model.PoolName]int{"drafts": 3, "plans": 2}

// newEnvironment returns an environment in which validTree is in force.
func newEnvironment(t *testing.T) settings.Environment {
	t.Helper()
	tree, err := settings.Parse([]byte(validTree))
	must.NoError(t, err)
	compiled, err := settings.Compile(tree, 1)
	must.NoError(t, err)
	return settings.Environment{Previous: compiled, Servers: liveServers}
}

func TestValidateAcceptsValidTrees(t *testing.T) {
	_, err := settings.Validate("good", []byte(validTree), newEnvironment(t))
	must.NoError(t, err)
	for _, file := range []string{"lagos.jsonc", "taiwan.jsonc"} {
		text, err := os.ReadFile("../../examples/" + file)
		must.NoError(t, err)
		_, err = settings.Validate(file, text, settings.Environment{})
		must.NoError(t, err, must.Sprint(file))
	}
}

// Each case replaces one part of validTree and expects one problem: its position or
// path, and a part of its message.
func TestValidateReportsProblemAndPosition(t *testing.T) {
	cases := []struct{ name, old, new, wantPosition, wantMessage string }{
		{"unknown name", `"slots": 3, "connections": 300`, `"slot": 3`, "8:57: teams.orders.pools.drafts.slot", "unknown name"},
		{"wrong type", `"slots": 3, "connections": 300`, `"slots": "3"`, "8:66: teams.orders.pools.drafts.slots", "want a whole number"},
		{"duplicate name", `"slots": 3, "connections": 300`, `"slots": 3, "slots": 4`, "teams.orders.pools.drafts.slots", "given twice"},
		{"no ranks", `"ranks": [
    {"name": "urgent", "target_ms": 100, "floor_percent": 0},
    {"name": "bulk", "target_ms": 1000, "floor_percent": 20}
  ]`, `"ranks": []`, "fleet.ranks", "found no ranks"},
		{"ranks out of order", `"target_ms": 1000`, `"target_ms": 10`, "4:35: fleet.ranks.1.target_ms", "found 10 after 100"},
		{"rank twice", `"name": "bulk"`, `"name": "urgent"`, "fleet.ranks.1.name", "a second time"},
		{"floor below 0", `"floor_percent": 20`, `"floor_percent": -1`, "fleet.ranks.1.floor_percent", "found -1, want 0 to 100"},
		{"floor above 100", `"floor_percent": 20`, `"floor_percent": 101`, "fleet.ranks.1.floor_percent", "found 101, want 0 to 100"},
		{"floors sum", `"floor_percent": 0`, `"floor_percent": 81`, "fleet.ranks", "sum up to 101"},
		{"no such pool", `"pool": "drafts"`, `"pool": "draft"`, "teams.orders.routes.0.pool", "allowed are drafts"},
		{"no such rank", `"rank": "urgent"`, `"rank": "urgen"`, "teams.orders.routes.0.rank", "allowed are bulk, urgent"},
		{"pool of another team", `"pool": "drafts"`, `"pool": "plans"`, "teams.orders.routes.0.pool", "a pool of the same team"},
		{"pool removed", `{"drafts": {"keyed": true, "shards": 16, "slots": 3, "connections": 300}}`, `{}`, "teams.orders.routes.0.pool", "none are defined"},
		{"same method and path", `"methods": ["PUT"], "path": "/plans/{key}"`, `"methods": ["GET"], "path": "/drafts/{id}"`, "teams.surveys.routes.0.path", "route read has it"},
		{"path without slash", `"/plans/{key}"`, `"plans/{key}"`, "teams.surveys.routes.0.path", "does not start with /"},
		{"path with open brace", `"/plans/{key}"`, `"/plans/{key"`, "teams.surveys.routes.0.path", "want a path pattern"},
		{"key twice", `"/plans/{key}"`, `"/plans/{key}/{key}"`, "teams.surveys.routes.0.path", "more than once"},
		{"unknown method", `["PUT"]`, `["FETCH"]`, "teams.surveys.routes.0.methods.0", `found method "FETCH"`},
		{"no methods", `["PUT"]`, `[]`, "teams.surveys.routes.0.methods", "found no methods"},
		{"keyed without key", `"/drafts/{key}"`, `"/drafts"`, "teams.orders.routes.0.path", "pool drafts is keyed"},
		{"once on GET", `"rank": "urgent"`, `"rank": "urgent", "repeat": "once"`, "teams.orders.routes.0.repeat", "reads may run again"},
		{"unknown repeat", `"rank": "bulk"`, `"rank": "bulk", "repeat": "twice"`, "teams.surveys.routes.0.repeat", `found "twice"`},
		{"timeout", `"rank": "bulk"`, `"rank": "bulk", "timeout_ms": -5`, "teams.surveys.routes.0.timeout_ms", "found -5, want 1 to"},
		{"explicit zero", `"slots": 3, "connections": 30}`, `"slots": 0, "connections": 30}`, "teams.surveys.pools.plans.slots", "found 0, want 1 to"},
		{"too few connections", `"connections": 30}`, `"connections": 2}`, "teams.surveys.pools.plans.connections", "2 connections for 3 slots"},
		{"shards changed", `"shards": 16`, `"shards": 32`, "teams.orders.pools.drafts.shards", "found 32, want 16"},
		{"no longer keyed", `"keyed": true, "shards": 16, `, ``, "teams.orders.pools.drafts", "fixed for the life"},
		{"shards without keys", `"plans": {`, `"plans": {"shards": 4, `, "teams.surveys.pools.plans.shards", "not keyed"},
		{"no targets", `"pools": {"plans"`, `"pools": {"maps": {"slots": 1}, "plans"`, "teams.surveys.pools.maps", "found no targets"},
		{"all drained", `"connections": 30}`, `"connections": 30, "drain": ["plans-1", "plans-2"]}`, "teams.surveys.pools.plans.drain", "at least one"},
		{"target address", `"connections": 30}`, `"connections": 30, "targets": [{"name": "a", "zone": "z", "address": "plans:80"}]}`, "teams.surveys.pools.plans.targets.0.address", "want ip:port"},
		{"pool of two teams", `"pools": {"plans"`, `"pools": {"drafts": {"keyed": true, "shards": 16}, "plans"`, "teams.surveys.pools.drafts", "team orders owns it"},
		{"bad name", `"name": "send"`, `"name": "send it"`, "teams.surveys.routes.0.name", "letters, digits"},
		{"syntax", `"fleet": {`, `"fleet": `, "", "invalid"},
		{"null team", `"teams": {`, `"teams": {"none": null, `, "teams.none", "found null"},
		{"too big", `"fleet"`, strings.Repeat(" ", settings.MaxTreeBytes) + `"fleet"`, "", "or fewer"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			text := strings.Replace(validTree, tc.old, tc.new, 1)
			must.NotEq(t, validTree, text)
			_, err := settings.Validate("tree.jsonc", []byte(text), newEnvironment(t))
			must.Error(t, err)
			must.StrContains(t, err.Error(), "tree.jsonc:")
			must.StrContains(t, err.Error(), tc.wantPosition)
			must.StrContains(t, err.Error(), tc.wantMessage)
		})
	}
}

func TestValidateReportsAllProblems(t *testing.T) {
	text := strings.NewReplacer(`"floor_percent": 20`, `"floor_percent": 200`, `"rank": "bulk"`, `"rank": "x"`, `"/drafts/{key}"`, `"drafts"`).Replace(validTree)
	_, err := settings.Validate("tree", []byte(text), settings.Environment{})
	var problems jsonc.Problems
	must.True(t, asProblems(err, &problems))
	must.SliceLen(t, 4, problems)
}

func asProblems(err error, out *jsonc.Problems) bool {
	found, ok := err.(jsonc.Problems)
	*out = found
	return ok
}

func TestReplacementKeepsCommentsOfTreeAndReplacement(t *testing.T) {
	tree := strings.Replace(validTree, `"surveys": {`, "// plans and drawings\n\"surveys\": {", 1)
	r := settings.Replacement{Scope: settings.TeamScope("orders"), File: "orders.jsonc", Text: []byte(`// own comment
{"pools": {"drafts": {"keyed": true, "shards": 16, "slots": 4, "connections": 300}}, "routes": []} // end`)}
	merged, err := r.Apply([]byte(tree), newEnvironment(t))
	must.NoError(t, err)
	must.StrContains(t, string(merged), "// plans and drawings")
	must.StrContains(t, string(merged), "// own comment")
	part, err := settings.Part(merged, r.Scope)
	must.NoError(t, err)
	must.Eq(t, string(r.Text), string(part))
	must.True(t, settings.SamePart([]byte(tree), merged, settings.TeamScope("surveys")))
}

func TestReplacementAddsATeam(t *testing.T) {
	r := settings.Replacement{Scope: settings.TeamScope("archive"), File: "a", Text: []byte("// new\n{\"pools\": {}, \"routes\": []}")}
	merged, err := r.Apply([]byte(validTree), newEnvironment(t))
	must.NoError(t, err)
	must.StrContains(t, string(merged), "// new")
	must.True(t, settings.SamePart([]byte(validTree), merged, settings.TeamScope("orders")))
}

func TestReplacementReportsLinesOfItsOwnFile(t *testing.T) {
	r := settings.Replacement{Scope: settings.TeamScope("surveys"), File: "surveys.jsonc", Text: []byte("{\"pools\": {\n\"plans\": {\"slots\": -1}},\n\"routes\": []}")}
	_, err := r.Apply([]byte(validTree), newEnvironment(t))
	must.Error(t, err)
	must.StrContains(t, err.Error(), "surveys.jsonc:2:20: teams.surveys.pools.plans.slots: found -1")
}

func FuzzValidate(f *testing.F) {
	f.Add(validTree)
	f.Add(`{"fleet": {"ranks": [{"name": "a", "target_ms": 1, "floor_percent": 0}]}, "teams": {}}`)
	f.Add(`{"teams": {"a": {"routes": [{"path": "/{key:*}", "methods": ["GET"]}]}}}`)
	f.Add(`{"teams": {"a/b~": {"pools": {"": {"targets": [{}]}}}}} // end`)
	f.Add(`[1, {"a": null}]`)
	f.Fuzz(func(t *testing.T, text string) {
		tree, err := settings.Validate("fuzz", []byte(text), settings.Environment{})
		if err != nil {
			return
		}
		_, err = settings.Compile(tree, 1)
		must.NoError(t, err)
	})
}
