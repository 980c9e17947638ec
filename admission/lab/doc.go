// Package lab measures admission policies on a model of one backend server.
//
// The backend server processes all started requests concurrently and slows down
// beyond its capacity. Callers arrive at random, have a deadline, and may retry
// after a refusal or leave the queue at their deadline. Time is simulated, so the figures
// depend only on the seed. The controller under test is the package admission
// itself; FIFO queues are run for comparison.
package lab
