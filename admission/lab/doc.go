// Package lab measures admission on a model of one backend server.
//
// The backend server works on all started requests at once and slows down
// beyond its capacity; callers arrive at random, have a deadline, and may come
// back after a refusal or go away while they wait. Time is simulated, so the
// figures depend on the seed alone. The controller under test is the package
// admission itself; plain queues of fixed size are run for comparison.
package lab
