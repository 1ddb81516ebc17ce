// Package loader decides which adapter is loaded next.
//
// The weight store's few loads a second are the scarcest thing in the system.
// A Budget spends an instance's part of them on the loads that remove the most
// stall: many requests waiting, an old wait, a near deadline. A load that
// failed backs off alone and holds no other back.
package loader
