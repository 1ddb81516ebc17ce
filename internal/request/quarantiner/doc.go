// Package quarantiner names requests that crash the runners which run them.
package quarantiner
