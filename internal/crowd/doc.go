// Package crowd holds tests of instances that serve many callers outside the limits of the documentation at the same time: callers
// that send long requests, stop before their end and stay connected, or do not read their answers. The instances run as separate
// processes.
package crowd
