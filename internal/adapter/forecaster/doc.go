// Package forecaster forecasts how many copies of each adapter the runners of a failure domain
// need, so that further copies are loaded before requests queue for the ones there are.
//
// Its input is the arrival of each request, the requests in progress and waiting, and the time;
// its output is how many copies to request. Which runners load them is decided by the leader.
package forecaster
