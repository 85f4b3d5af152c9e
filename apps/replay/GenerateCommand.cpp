#include "apps/replay/GenerateCommand.h"

#include <filesystem>
#include <fstream>

#include "absl/strings/str_cat.h"

#include "src/core/contract/ContractDocument.h"
#include "src/core/trace/TraceGenerator.h"

namespace foxtailbarrow::replay {

namespace {

absl::Status WriteFile(const std::filesystem::path& aPath,
                       const std::string& aText)
{
  std::ofstream file(aPath, std::ios::binary);
  file << aText;
  file.close();
  if (!file) {
    return absl::UnknownError(
      absl::StrCat(aPath.string(), ": cannot be written"));
  }
  return absl::OkStatus();
}

absl::Status WriteContracts(const DeploymentShape& aShape,
                            const std::filesystem::path& aFolder)
{
  std::error_code error;
  std::filesystem::create_directories(aFolder, error);
  for (const CustomerShape& customer : aShape.mCustomers) {
    const Contract& contract = customer.mContract;
    absl::Status written =
      WriteFile(aFolder / (contract.mCustomer.Value() + ".json"),
                FormatContract(contract) + "\n");
    if (!written.ok()) {
      return written;
    }
  }
  return absl::OkStatus();
}

} // namespace

absl::Status Generate(const GenerateSettings& aSettings)
{
  const std::optional<DeploymentShape> shape =
    FindDeploymentShape(aSettings.mDeployment);
  if (!shape) {
    return absl::InvalidArgumentError("unknown deployment");
  }
  const Trace trace = GenerateTrace(*shape, aSettings.mSeed);
  absl::Status written = WriteFile(aSettings.mOut, FormatTrace(trace));
  if (written.ok() && !aSettings.mContracts.empty()) {
    written = WriteContracts(*shape, aSettings.mContracts);
  }
  return written;
}

} // namespace foxtailbarrow::replay
