#include "src/telemetry/Settings.h"

#include <algorithm>
#include <iostream>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include <CLI/CLI.hpp>

namespace foxtailbarrow {

namespace {

constexpr char kVersion[] = "foxtailbarrow 0.1.0";
constexpr std::string_view kDashes = "--";

/// Returns "--name" for a name with or without dashes.
std::string FlagName(std::string_view aFlag)
{
  return aFlag.starts_with(kDashes) ? std::string(aFlag)
                                    : std::string(kDashes).append(aFlag);
}

std::string VariableName(const std::string& aFlag)
{
  std::string name = aFlag.substr(kDashes.size());
  std::ranges::replace(name, '-', '_');
  return "FOXTAILBARROW_" + absl::AsciiStrToUpper(name);
}

} // namespace

struct Setting::Impl
{
  std::string mName;    ///< Flag and variable, as error messages show them.
  std::string mAllowed; ///< Allowed values, as error messages show them.
  CLI::Option* mOption = nullptr;
  bool mRequired = false;

  std::string ErrorMessage(const std::string& aProblem) const
  {
    return absl::StrCat(mName, ": ", aProblem, "; allowed: ", mAllowed);
  }
};

namespace {

/// Callback for CLI11 that throws when the acceptor rejects the text.
std::function<void(const std::string&)> MakeValidator(
  const Setting::Impl& aSetting,
  Settings::Acceptor aAcceptor)
{
  return
    [&aSetting, acceptor = std::move(aAcceptor)](const std::string& aText) {
      if (!acceptor(aText)) {
        throw CLI::ValidationError(
          aSetting.ErrorMessage("value '" + aText + "' is not allowed"));
      }
    };
}

} // namespace

void Setting::Required()
{
  mImpl.mRequired = true;
}

struct Settings::Impl
{
  std::unique_ptr<CLI::App> mRootApp; ///< Null in subcommands.
  CLI::App* mApp = nullptr;
  std::vector<std::unique_ptr<Setting::Impl>> mSettings;
  std::vector<std::unique_ptr<Settings>> mSubcommands;

  /// Message for the first required setting that is missing, which CLI11 does
  /// not check; empty when there is none.
  std::string MissingSetting() const
  {
    for (const auto& setting : mSettings) {
      if (setting->mRequired && setting->mOption->count() == 0) {
        return setting->ErrorMessage("missing");
      }
    }
    for (const auto& subcommand : mSubcommands) {
      if (subcommand->Chosen()) {
        return subcommand->mImpl->MissingSetting();
      }
    }
    return {};
  }

  /// Appends the allowed values to a message of CLI11 that names the flag.
  std::string WithAllowedValues(const std::string& aMessage) const
  {
    for (const auto& setting : mSettings) {
      if (const std::string name = setting->mOption->get_name();
          aMessage.starts_with(name + ":") ||
          absl::StrContains(aMessage, " " + name + " = ")) {
        return absl::StrCat(aMessage, "; allowed: ", setting->mAllowed);
      }
    }
    for (const auto& subcommand : mSubcommands) {
      if (subcommand->Chosen()) {
        return subcommand->mImpl->WithAllowedValues(aMessage);
      }
    }
    return aMessage;
  }

  /// Message for a missing or unknown subcommand; `aRest` are the arguments
  /// that CLI11 did not recognise.
  std::string SubcommandError(const std::vector<std::string>& aRest) const
  {
    std::vector<std::string> names;
    for (const auto& subcommand : mSubcommands) {
      if (subcommand->Chosen()) {
        return subcommand->mImpl->SubcommandError(aRest);
      }
      names.push_back(subcommand->mImpl->mApp->get_name());
    }
    return absl::StrCat("subcommand: ",
                        aRest.empty()
                          ? "missing"
                          : "value '" + aRest.front() + "' is not allowed",
                        "; allowed: ",
                        absl::StrJoin(names, ", "));
  }

  Setting::Impl& AddSetting(std::string aName, std::string_view aAllowed)
  {
    auto setting = std::make_unique<Setting::Impl>();
    setting->mName = std::move(aName);
    setting->mAllowed = aAllowed;
    mSettings.push_back(std::move(setting));
    return *mSettings.back();
  }
};

Settings::Settings(std::string_view aProgram, std::string_view aDescription)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->mRootApp = std::make_unique<CLI::App>(std::string(aDescription),
                                               std::string(aProgram));
  mImpl->mApp = mImpl->mRootApp.get();
  mImpl->mApp->set_version_flag("--version", kVersion);
}

Settings::Settings(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

Settings::~Settings() = default;

Setting Settings::Add(std::string_view aFlag,
                      std::string_view aHelp,
                      std::string_view aAllowed,
                      Acceptor aAcceptor,
                      std::string_view aDefault)
{
  const std::string flag = FlagName(aFlag);
  const std::string variable = VariableName(flag);
  Setting::Impl& setting =
    mImpl->AddSetting(flag + " (" + variable + ")", aAllowed);
  setting.mOption = mImpl->mApp->add_option_function<std::string>(
    flag, MakeValidator(setting, std::move(aAcceptor)), std::string(aHelp));
  setting.mOption->envname(variable);
  setting.mOption->default_str(std::string(aDefault));
  return Setting(setting);
}

void Settings::AddSwitch(std::string_view aFlag,
                         bool& aTarget,
                         std::string_view aHelp)
{
  const std::string flag = FlagName(aFlag);
  const std::string variable = VariableName(flag);
  Setting::Impl& setting =
    mImpl->AddSetting(absl::StrCat(flag, " (", variable, ")"), "true, false");
  setting.mOption = mImpl->mApp->add_flag(flag, aTarget, std::string(aHelp));
  setting.mOption->envname(variable);
}

Setting Settings::AddPositional(std::string_view aName,
                                std::string_view aAllowed,
                                Acceptor aAcceptor)
{
  Setting::Impl& setting = mImpl->AddSetting(std::string(aName), aAllowed);
  setting.mOption = mImpl->mApp->add_option_function<std::string>(
    std::string(aName),
    MakeValidator(setting, std::move(aAcceptor)),
    std::string(aAllowed));
  return Setting(setting);
}

Setting Settings::AddPositional(std::string_view aName,
                                std::string& aTarget,
                                std::string_view aAllowed)
{
  return AddPositional(aName, aAllowed, [&aTarget](std::string_view aText) {
    aTarget = aText;
    return !aText.empty();
  });
}

Settings& Settings::AddSubcommand(std::string_view aName,
                                  std::string_view aDescription)
{
  auto impl = std::make_unique<Impl>();
  impl->mApp =
    mImpl->mApp->add_subcommand(std::string(aName), std::string(aDescription));
  impl->mApp->fallthrough();
  mImpl->mApp->require_subcommand(1);
  mImpl->mSubcommands.emplace_back(new Settings(std::move(impl)));
  return *mImpl->mSubcommands.back();
}

bool Settings::Chosen() const
{
  return mImpl->mApp->parsed();
}

std::optional<int> Settings::Parse(std::vector<std::string> aArguments,
                                   std::ostream& aOut,
                                   std::ostream& aErr)
{
  std::string message;
  try {
    // CLI11 takes the arguments in reverse order.
    std::reverse(aArguments.begin(), aArguments.end());
    mImpl->mApp->parse(std::move(aArguments));
    message = mImpl->MissingSetting();
  } catch (const CLI::RequiredError&) {
    // CLI11 does not know which settings are required, so that this can only
    // mean a missing subcommand.
    message = mImpl->SubcommandError(mImpl->mApp->remaining(true));
  } catch (const CLI::ParseError& error) {
    if (error.get_exit_code() == 0) {
      mImpl->mApp->exit(error, aOut, aErr);
      return 0;
    }
    message = mImpl->WithAllowedValues(error.what());
  }
  if (message.empty()) {
    return std::nullopt;
  }
  aErr << mImpl->mApp->get_name() << ": " << message << "\n"
       << "See " << mImpl->mApp->get_name() << " --help.\n";
  return kExitUsage;
}

std::optional<int> Settings::Parse(int argc, const char* const* argv)
{
  return Parse({ argv + 1, argv + argc }, std::cout, std::cerr);
}

} // namespace foxtailbarrow
