#include "soak/Child.h"

#include <csignal>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

extern char** environ;

namespace foxtailbarrow::soak {

Child::Child(std::vector<std::string> aCommand, std::string aLogFile)
  : mCommand(std::move(aCommand))
  , mLogFile(std::move(aLogFile))
{
}

Child::~Child()
{
  Kill();
}

void Child::Start()
{
  if (Running()) {
    return;
  }
  constexpr mode_t kMode = 0644;
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(
    &files, 1, mLogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, kMode);
  posix_spawn_file_actions_adddup2(&files, 1, 2);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t none;
  sigemptyset(&none);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
  std::vector<char*> arguments;
  for (std::string& argument : mCommand) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  if (posix_spawn(
        &mPid, arguments[0], &files, &attributes, arguments.data(), environ) !=
      0) {
    mPid = 0;
  }
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&files);
}

void Child::Signal(int aSignal)
{
  if (Running()) {
    kill(mPid, aSignal);
  }
}

void Child::Kill()
{
  if (mPid != 0) {
    kill(mPid, SIGKILL);
    waitpid(mPid, nullptr, 0);
    mPid = 0;
  }
}

bool Child::Running()
{
  if (mPid != 0 && waitpid(mPid, nullptr, WNOHANG) == mPid) {
    mPid = 0;
  }
  return mPid != 0;
}

pid_t Child::Id()
{
  return Running() ? mPid : 0;
}

} // namespace foxtailbarrow::soak
