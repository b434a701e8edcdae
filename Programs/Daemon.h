#pragma once

/// Runs the daemon with the arguments of its process, in which handledSignals() are blocked. Returns the exit status.
/// The only symbol that the daemon's library exports.
extern "C" int runDaemon(int argc, char** argv);

/// Name of runDaemon() for the loader.
constexpr auto runDaemonSymbol = "runDaemon";
