#pragma once

#include <json/json.h>

namespace review {

/// The operator's configuration with one queue, as qoima-ala.toml has it.
inline Json::Value OneQueue(const char* aName, const char* aPrefix)
{
  Json::Value route;
  route["Name"] = aName;
  route["Host"] = "qoima.example";
  route["Prefix"] = aPrefix;
  route["Kind"] = "unsafe";
  route["TimeoutMs"] = 3000;
  route["SloMs"] = 250;
  route["Priority"] = 0;
  route["Service"] = "vault-api";
  route["Attempts"] = 3;
  route["Stretch"] = 1.5;
  Json::Value service;
  service["Name"] = "vault-api";
  service["HealthPath"] = "/health";
  service["MaxConns"] = 64;
  service["Protocol"] = "h1";
  service["Tls"] = false;
  service["EnforcesCapacity"] = false;
  service["Spare"] = false;
  Json::Value configuration;
  configuration["Version"] = 7;
  configuration["Routes"].append(route);
  configuration["Services"].append(service);
  configuration["Limits"]["MaxHeaderBytes"] = 16384;
  configuration["Limits"]["MaxBodyBytes"] = 262144;
  configuration["Limits"]["HeaderTimeoutMs"] = 3000;
  configuration["Limits"]["IdleTimeoutMs"] = 15000;
  return configuration;
}

} // namespace review
