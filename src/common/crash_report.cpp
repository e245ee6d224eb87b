#include "common/crash_report.hpp"

#include <execinfo.h>
#include <link.h>
#include <poll.h>
#include <ucontext.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <climits>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace shuntbank {
namespace {

struct FatalSignal {
  int number;
  std::string_view name;
  struct sigaction previous {};
};

std::array<FatalSignal, 5> fatal_signals{{{SIGSEGV, "SIGSEGV"},
                                          {SIGBUS, "SIGBUS"},
                                          {SIGILL, "SIGILL"},
                                          {SIGFPE, "SIGFPE"},
                                          {SIGABRT, "SIGABRT"}}};

/// Enough for the unwinder; the overflowed stack has no room for the handler.
constexpr std::size_t kAlternateStackSize = 64UL << 10U;

/// A fault this close to the stack pointer is an overflow of the stack. Larger than common frames.
constexpr std::uintptr_t kMaxStackOverrun = 64UL << 10U;

constexpr int kMaxFrames = 48;

/// Time for which a full pipe may delay the end of the process.
constexpr int kWriteTimeoutMs = 100;

constexpr int kHexadecimal = 16;

int report_descriptor = STDOUT_FILENO;

/// Where the program's own code is, and the address that its offsets count from.
struct ProgramCode {
  std::uintptr_t base = 0;
  std::uintptr_t begin = 0;
  std::uintptr_t end = 0;
};

ProgramCode program_code;

/// The first object that the loader names is the program. @return 1, which ends the iteration.
int find_program_code(dl_phdr_info* object, std::size_t /*size*/, void* /*data*/) {
  program_code.base = object->dlpi_addr;
  for (int i = 0; i < object->dlpi_phnum; ++i) {
    const auto& segment = object->dlpi_phdr[i];
    if (segment.p_type != PT_LOAD || (segment.p_flags & PF_X) == 0) continue;
    program_code.begin = object->dlpi_addr + segment.p_vaddr;
    program_code.end = program_code.begin + segment.p_memsz;
  }
  return 1;
}

/// A line in a fixed buffer, as memory can't be allocated in a signal handler.
class Line {
 public:
  Line& operator<<(std::string_view text) {
    const std::size_t copied = std::min(text.size(), this->buffer.size() - this->size);
    std::copy_n(text.begin(), copied, this->buffer.begin() + this->size);
    this->size += copied;
    return *this;
  }

  Line& number(std::uint64_t value, std::size_t width = 1, int base = 10) {
    std::array<char, 24> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, base).ptr;
    const std::string_view text(digits.data(), static_cast<std::size_t>(end - digits.data()));
    for (std::size_t i = text.size(); i < width; ++i) *this << "0";
    return *this << text;
  }

  Line& hexadecimal(std::uintptr_t value) { return (*this << "0x").number(value, 1, kHexadecimal); }

  /// Writes what a pipe takes at once.
  void write_to(int descriptor) const {
    pollfd request{descriptor, POLLOUT, 0};
    if (::poll(&request, 1, kWriteTimeoutMs) <= 0) return;
    // Nothing is left to do if it fails.
    [[maybe_unused]] const ssize_t written = ::write(descriptor, this->buffer.data(), this->size);
  }

 private:
  std::array<char, PIPE_BUF> buffer{};
  std::size_t size = 0;
};

void append_time(Line& line) {
  using namespace std::chrono;
  const auto now = floor<milliseconds>(system_clock::now());
  const auto day = floor<days>(now);
  const year_month_day date(day);
  const hh_mm_ss time(now - day);
  const auto count = [](auto duration) { return static_cast<std::uint64_t>(duration.count()); };
  (line << "time=").number(static_cast<std::uint64_t>(static_cast<int>(date.year())), 4);
  (line << "-").number(static_cast<unsigned>(date.month()), 2);
  (line << "-").number(static_cast<unsigned>(date.day()), 2);
  (line << "T").number(count(time.hours()), 2);
  (line << ":").number(count(time.minutes()), 2);
  (line << ":").number(count(time.seconds()), 2);
  (line << ".").number(count(time.subseconds()), 3);
  line << "Z";
}

std::uintptr_t stack_pointer(const void* context) {
  const mcontext_t& registers = static_cast<const ucontext_t*>(context)->uc_mcontext;
#if defined(__aarch64__)
  return registers.sp;
#elif defined(__x86_64__)
  return static_cast<std::uintptr_t>(registers.gregs[REG_RSP]);
#else
#error "the stack pointer of this architecture is not known"
#endif
}

bool is_stack_overflow(const siginfo_t& info, const void* context) {
  if (info.si_signo != SIGSEGV && info.si_signo != SIGBUS) return false;
  const auto address = reinterpret_cast<std::uintptr_t>(info.si_addr);
  const std::uintptr_t pointer = stack_pointer(context);
  return std::max(address, pointer) - std::min(address, pointer) < kMaxStackOverrun;
}

/// The address is that of a fault; a signal that was sent has none.
void write_signal(std::string_view name, const siginfo_t& info, const void* context) {
  Line line;
  append_time(line);
  line << " level=error area=process event=crashed signal=" << name;
  if (info.si_code > 0) {
    (line << " address=").hexadecimal(reinterpret_cast<std::uintptr_t>(info.si_addr));
    line << " stack_overflow=" << (is_stack_overflow(info, context) ? "true" : "false");
  }
  line << "\n";
  line.write_to(report_descriptor);
}

void write_trace() {
  std::array<void*, kMaxFrames> frames{};
  const int count = ::backtrace(frames.data(), kMaxFrames);
  Line line;
  append_time(line);
  line << " level=error area=process event=crash_trace trace=";
  for (int i = 0; i < count; ++i) {
    const auto address = reinterpret_cast<std::uintptr_t>(frames.at(static_cast<std::size_t>(i)));
    const bool own = address >= program_code.begin && address < program_code.end;
    line << (i == 0 ? "" : ",") << (own ? "+" : "");
    line.hexadecimal(own ? address - program_code.base : address);
  }
  line << "\n";
  line.write_to(report_descriptor);
}

void on_fatal_signal(int number, siginfo_t* info, void* context) {
  const auto signal =
      std::find_if(fatal_signals.begin(), fatal_signals.end(),
                   [number](const FatalSignal& known) { return known.number == number; });
  write_signal(signal->name, *info, context);
  ::sigaction(number, &signal->previous, nullptr);
  // A fault in the unwinder, on a damaged stack, ends the process as well.
  write_trace();
  // A fault occurs again when the handler returns; a signal that was sent does not.
  if (info->si_code <= 0) ::raise(number);
}

/// A sanitizer brings an alternate stack of its own.
void set_alternate_stack() {
  stack_t present{};
  if (::sigaltstack(nullptr, &present) == 0 && (present.ss_flags & SS_DISABLE) == 0) return;
  alignas(std::max_align_t) static std::array<std::byte, kAlternateStackSize> memory;
  stack_t alternate{};
  alternate.ss_sp = memory.data();
  alternate.ss_size = memory.size();
  ::sigaltstack(&alternate, nullptr);
}

}  // namespace

void report_crashes(int descriptor) {
  report_descriptor = descriptor;
  set_alternate_stack();
  ::dl_iterate_phdr(&find_program_code, nullptr);
  // The first call loads the unwinder, which must not happen in a signal handler.
  std::array<void*, 1> frame{};
  ::backtrace(frame.data(), static_cast<int>(frame.size()));
  struct sigaction action {};
  action.sa_sigaction = &on_fatal_signal;
  action.sa_flags = SA_SIGINFO | SA_ONSTACK;
  sigemptyset(&action.sa_mask);
  for (FatalSignal& signal : fatal_signals) {
    ::sigaction(signal.number, &action, &signal.previous);
  }
}

}  // namespace shuntbank
