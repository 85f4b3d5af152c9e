#include "apps/ctl/FleetCommands.h"

#include <functional>
#include <utility>
#include <vector>

#include "apps/ctl/EntryAnswer.h"
#include "apps/ctl/JsonText.h"
#include "apps/ctl/TextTable.h"
#include "src/core/message/Json.h"

namespace foxtailbarrow::ctl {

namespace {

constexpr char kAgentsTarget[] = "/state/agents";
constexpr char kStateTarget[] = "/state";
constexpr bool kRepeatable = true;

using RowOf = std::function<std::vector<std::string>(const Json::Value&)>;

absl::StatusOr<net::HttpResponse> Get(const CallEntry& aCall,
                                      const char* aTarget)
{
  net::HttpRequest request;
  request.mTarget = aTarget;
  return aCall(request, kRepeatable);
}

CommandResult ListAgents(const CallEntry& aCall,
                         TextTable aTable,
                         const RowOf& aRow)
{
  return ToCommandResult(
    "agents", Get(aCall, kAgentsTarget), [&](const Json::Value& aAgents) {
      if (!aAgents.isArray()) {
        return Fail(kExitUnreachable, "agents: the answer is not a list");
      }
      for (const Json::Value& agent : aAgents) {
        aTable.Add(aRow(agent));
      }
      return Succeed(aTable.Text(), aAgents);
    });
}

std::vector<std::string> ServerRow(const Json::Value& aAgent)
{
  return { CellText(aAgent["agent"]),         CellText(aAgent["service"]),
           CellText(aAgent["endpoint"]),      CellText(aAgent["state"]),
           CellText(aAgent["slotsInUse"]),    CellText(aAgent["slots"]),
           CellText(aAgent["waiting"]),       CellText(aAgent["ageMs"]),
           CellText(aAgent["failureDomain"]), CellText(aAgent["reason"]) };
}

/// "reserved/capacity" of one kind of resource.
std::string ReservedOfCapacity(const Json::Value& aAgent, const char* aField)
{
  const auto amount = [&](const char* aMember) {
    const Json::Value& resources = aAgent[aMember];
    return resources.isObject() && resources.isMember(aField)
             ? CellText(resources[aField])
             : std::string("0");
  };
  return amount("reserved") + "/" + amount("capacity");
}

std::vector<std::string> WorkerRow(const Json::Value& aAgent)
{
  return { CellText(aAgent["agent"]),
           CellText(aAgent["failureDomain"]),
           CellText(aAgent["rack"]),
           CellText(aAgent["state"]),
           ReservedOfCapacity(aAgent, "millicores"),
           ReservedOfCapacity(aAgent, "memoryMb"),
           ReservedOfCapacity(aAgent, "accelerators"),
           CellText(aAgent["reason"]) };
}

} // namespace

CommandResult ListServers(const CallEntry& aCall)
{
  return ListAgents(aCall,
                    TextTable({ "AGENT",
                                "SERVICE",
                                "ENDPOINT",
                                "STATE",
                                "IN-USE",
                                "SLOTS",
                                "WAITING",
                                "AGE-MS",
                                "FAILURE-DOMAIN",
                                "REASON" }),
                    ServerRow);
}

CommandResult ListWorkers(const CallEntry& aCall)
{
  return ListAgents(aCall,
                    TextTable({ "AGENT",
                                "FAILURE-DOMAIN",
                                "RACK",
                                "STATE",
                                "MILLICORES",
                                "MEMORY-MB",
                                "ACCELERATORS",
                                "REASON" }),
                    WorkerRow);
}

CommandResult DumpState(const CallEntry& aCall)
{
  return ToCommandResult(
    "state", Get(aCall, kStateTarget), [](const Json::Value& aState) {
      return Succeed(FormatJsonIndented(aState) + "\n", aState);
    });
}

} // namespace foxtailbarrow::ctl
