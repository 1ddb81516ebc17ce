// Package loader decides which adapter is loaded next.
//
// The weight store serves few loads a second, the scarcest resource of the system.
// A Budget spends an instance's share of them on the loads that remove the most
// stall: many waiting requests, a long wait, a near deadline. After a failed load
// only loads of the same adapter back off.
package loader
