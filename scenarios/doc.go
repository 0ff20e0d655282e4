// Package scenarios holds the scripted scenarios: each .txtar file runs daemons
// as separate processes against stand-ins and asserts on what the stand-in
// servers recorded. Its code stands in test files; this file only documents.
package scenarios
