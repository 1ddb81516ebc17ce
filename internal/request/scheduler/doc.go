// Package scheduler decides which of the prompts that wait for a runner is sent next, and
// which are refused.
//
// The more urgent priority goes first. Within a priority the accounts take turns, so that
// each gets about the same number of prompt tokens, and within an account the prompt that
// must start first goes first. A prompt that can no longer start in time in this order is
// refused immediately, so that its caller can react. A prompt that was granted is never
// revoked.
//
// A Queue holds only state and is not safe for concurrent use.
package scheduler
