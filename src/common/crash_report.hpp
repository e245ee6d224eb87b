/// @file
/// Log lines of fatal signals, for a process that would otherwise end without a trace.
#pragma once

#include <unistd.h>

namespace shuntbank {

/// From now on a fatal signal (`SIGSEGV`, `SIGBUS`, `SIGILL`, `SIGFPE`, `SIGABRT`) first writes
///
///     time=… level=error area=process event=crashed signal=SIGSEGV address=0x… stack_overflow=…
///     time=… level=error area=process event=crash_trace trace=+0x…,…
///
/// to the descriptor; then the signal takes its previous action. A signal that was sent has no
/// address. Frames with a `+` are offsets into the program, for `addr2line`; the others are
/// addresses in libraries. On a damaged stack the second line may be missing.
/// Covers stack overflows of the calling thread only.
void report_crashes(int descriptor = STDOUT_FILENO);

}  // namespace shuntbank
