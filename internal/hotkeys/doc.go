// Package hotkeys estimates the load of keys while the busy keys change within seconds.
//
// A long memory tells the load of quiet keys from chance, but takes as long to notice
// that another key has become busy. So each key is counted with a long and a short
// memory. The long one holds unless the short one differs from it by more than chance
// explains: then the key has become hot, or is hot no more, and the short one holds.
// Neighbouring keys are also judged together, so that many keys which are a little
// busier each are noticed as soon as a single hot one.
package hotkeys
