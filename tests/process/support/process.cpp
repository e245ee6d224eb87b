#include "process/support/process.hpp"

#include <criterion/criterion.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <atomic>
#include <boost/process.hpp>
#include <boost/process/extend.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

namespace shuntbank::testing {
namespace {

std::string next_output_path() {
  static std::atomic<int> count{0};
  return "/tmp/shuntbank-test-" + std::to_string(getpid()) + "-" + std::to_string(++count);
}

std::string program_path(const std::string& program) {
  return SHUNTBANK_BINARIES "/" + program;
}

}  // namespace

struct Process::Child {
  Child(const std::string& program, std::vector<std::string> arguments, const std::string& output)
      : process(
            boost::process::exe = program_path(program),
            boost::process::args = std::move(arguments),
            (boost::process::std_out & boost::process::std_err) > output,
            // Kills the child with the test, as a failed assertion skips destructors.
            boost::process::extend::on_exec_setup = [](auto&) {
              prctl(PR_SET_PDEATHSIG, SIGKILL);
            }) {}
  boost::process::child process;
};

Process::Process(const std::string& program, std::vector<std::string> arguments)
    : output_path_(next_output_path()),
      child_(std::make_unique<Child>(program, std::move(arguments), output_path_)) {}

Process::~Process() {
  if (running()) kill();
  std::remove(output_path_.c_str());
}

std::string Process::output() const {
  std::ifstream file(output_path_);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

bool Process::printed(const std::string& text) const {
  return output().find(text) != std::string::npos;
}

std::string Process::address(const std::string& interface) {
  const std::string prefix = "event=listening interface=" + interface + " address=";
  cr_assert(eventually([&] { return printed(prefix); }), "no address; output: %s",
            output().c_str());
  const std::string text = output();
  const std::size_t begin = text.find(prefix) + prefix.size();
  return text.substr(begin, text.find('\n', begin) - begin);
}

void Process::send_signal(int signal) {
  ::kill(child_->process.id(), signal);
}

void Process::kill() {
  send_signal(SIGKILL);
  child_->process.wait();
}

int Process::wait() {
  child_->process.wait();
  return child_->process.exit_code();
}

bool Process::running() {
  std::error_code error;
  return child_->process.valid() && child_->process.running(error);
}

bool eventually(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

}  // namespace shuntbank::testing
