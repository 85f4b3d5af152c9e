#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <iosfwd>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"
#include "src/telemetry/IdText.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow {

/// Exit code for a missing or bad setting.
inline constexpr int kExitUsage = 2;

/// Smallest and greatest value allowed.
template<typename Value>
struct SettingRange
{
  Value mMin{};
  Value mMax{};
};

/// One setting, as returned by the Add functions of Settings.
class Setting
{
public:
  struct Impl;
  explicit Setting(Impl& aImpl)
    : mImpl(aImpl)
  {
  }

  /// Makes Parse() fail without a value.
  void Required();

private:
  Impl& mImpl;
};

/// The settings of a program: flags, each with an environment variable
/// (`--failure-domain` and FOXTAILBARROW_FAILURE_DOMAIN), checked at start-up.
/// The flag takes precedence over the variable; without either, the target
/// keeps its value, which is the default. `--help` and `--version` always
/// exist. Targets must outlive Parse(). The Add functions accept a flag with or
/// without its leading dashes.
class Settings
{
public:
  /// Stores the value and returns true, or returns false for an invalid text.
  using Acceptor = std::function<bool(std::string_view)>;

  Settings(std::string_view aProgram, std::string_view aDescription);
  ~Settings();

  Setting AddText(std::string_view aFlag,
                  std::string& aTarget,
                  std::string_view aHelp);

  template<typename Tag>
  Setting AddId(std::string_view aFlag,
                Id<Tag>& aTarget,
                std::string_view aHelp)
  {
    return Add(
      aFlag,
      aHelp,
      kIdTextAllowed,
      [&aTarget](std::string_view aText) {
        if (!IsIdText(aText)) {
          return false;
        }
        aTarget = Id<Tag>(std::string(aText));
        return true;
      },
      aTarget.Value());
  }

  /// Address to listen on; port 0 lets the system choose.
  Setting AddListen(std::string_view aFlag,
                    Endpoint& aTarget,
                    std::string_view aHelp);

  /// Address to connect to; port 1..65535.
  Setting AddEndpoint(std::string_view aFlag,
                      Endpoint& aTarget,
                      std::string_view aHelp);

  /// Comma-separated addresses to connect to, at least one.
  Setting AddEndpoints(std::string_view aFlag,
                       std::vector<Endpoint>& aTarget,
                       std::string_view aHelp);

  /// Whole milliseconds.
  Setting AddMilliseconds(std::string_view aFlag,
                          Duration& aTarget,
                          SettingRange<Duration> aRange,
                          std::string_view aHelp);

  /// Integer; `Number` is any integral type that can hold the range.
  template<typename Number>
  Setting AddCount(std::string_view aFlag,
                   Number& aTarget,
                   SettingRange<std::int64_t> aRange,
                   std::string_view aHelp)
  {
    return AddNumber(
      aFlag,
      static_cast<std::int64_t>(aTarget),
      aRange,
      [&aTarget](std::int64_t aValue) {
        aTarget = static_cast<Number>(aValue);
      },
      aHelp);
  }

  Setting AddFraction(std::string_view aFlag,
                      double& aTarget,
                      SettingRange<double> aRange,
                      std::string_view aHelp);

  /// One of `aAllowed`.
  Setting AddChoice(std::string_view aFlag,
                    std::string& aTarget,
                    std::initializer_list<std::string_view> aAllowed,
                    std::string_view aHelp);

  /// `--log-level`.
  Setting AddLogLevel(LogLevel& aTarget);

  /// Flag without a value; the variable takes true or false.
  void AddSwitch(std::string_view aFlag, bool& aTarget, std::string_view aHelp);

  /// Positional argument, for example "FILE". No environment variable.
  /// `aAllowed` describes the allowed values and is also the help text.
  Setting AddPositional(std::string_view aName,
                        std::string_view aAllowed,
                        Acceptor aAcceptor);

  Setting AddPositional(std::string_view aName,
                        std::string& aTarget,
                        std::string_view aAllowed);

  /// Any other type; `aAllowed` describes the allowed values.
  Setting Add(std::string_view aFlag,
              std::string_view aHelp,
              std::string_view aAllowed,
              Acceptor aAcceptor,
              std::string_view aDefault = {});

  /// Subcommand with its own settings. If there are any, the command line must
  /// name one. Flags of its parents may also follow its name.
  Settings& AddSubcommand(std::string_view aName,
                          std::string_view aDescription);

  /// True when the command line named this subcommand.
  bool Chosen() const;

  /// Fills the targets. Returns the exit code when the program must exit now: 0
  /// after --help and --version (printed to `aOut`), kExitUsage after an error,
  /// whose message in `aErr` names the flag, the value and the allowed values.
  std::optional<int> Parse(std::vector<std::string> aArguments,
                           std::ostream& aOut,
                           std::ostream& aErr);

  /// As above, from main()'s arguments to the standard streams.
  std::optional<int> Parse(int argc, const char* const* argv);

private:
  struct Impl;
  explicit Settings(std::unique_ptr<Impl> aImpl);

  Setting AddNumber(std::string_view aFlag,
                    std::int64_t aDefault,
                    SettingRange<std::int64_t> aRange,
                    std::function<void(std::int64_t)> aStore,
                    std::string_view aHelp);

  std::unique_ptr<Impl> mImpl;
};

} // namespace foxtailbarrow
