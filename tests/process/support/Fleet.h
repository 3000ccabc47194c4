#pragma once

#include "support/HttpProbe.h"
#include "support/Process.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace auburnmux::process {

struct FleetSettings
{
  std::size_t mHostsPerCentre = 3;
  std::size_t mCentres = 1;
  /** Upstreams of the short service in each data centre. */
  std::size_t mUpstreams = 3;
  double mMeanMs = 20;
};

/** What the operators' tool printed and returned. */
struct ToolRun
{
  int mExitCode = -1;
  std::string mOutput;
};

/**
 * The platform's stand-in, upstreams of the services subsidy-core and
 * doc-intake and a number of entry hosts, all on loopback addresses of their
 * own, with their files in a directory that is removed at the end. Host and
 * upstream indices count from 0; hosts of a data centre are consecutive.
 */
class Fleet
{
public:
  /** Starts everything; the test fails unless it is ready in time. */
  explicit Fleet(FleetSettings aSettings = {});
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  HttpProbe& Probe() { return mProbe; }
  const std::string& Directory() const { return mDirectory; }
  std::size_t HostCount() const { return mHosts.size(); }
  Process& Host(std::size_t aHost) { return *mHosts[aHost]; }
  static std::string HostName(std::size_t aHost);
  /** Starts a host again under a new process. */
  void StartHost(std::size_t aHost);
  /** \returns whether all hosts are ready and see each other in time. */
  bool WaitUntilReady();

  http::Endpoint HostEndpoint(std::size_t aHost) const;
  http::Endpoint PlatformEndpoint() const;
  /** \returns a request to the short service through a host. */
  http::ClientRequest Check(std::size_t aHost,
                            const std::string& aQuery = {}) const;
  http::ClientRequest Voucher(std::size_t aHost, const std::string& aKey) const;
  /** Sends the voucher until its outcome is in \a aWanted. */
  Reply SendUntil(const http::ClientRequest& aVoucher,
                  const std::set<std::string>& aWanted);
  /** \returns a new idempotency key. */
  std::string NewKey();

  /** \returns the answer of `GET /v1/status`; discarded JSON if none. */
  Json Status(std::size_t aHost);
  /** \returns the state that \a aHost reports of \a aPeer. */
  std::string PeerState(std::size_t aHost, std::size_t aPeer);
  /** \returns the version of the configuration that a host serves. */
  int ConfigVersion(std::size_t aHost);
  /** \returns ids of the hosts that a look-up at \a aHost names. */
  std::set<std::string> LookUp(std::size_t aHost);

  void ControlUpstream(std::size_t aUpstream, const Json& aChange);
  Json UpstreamStats(std::size_t aUpstream);
  /** \returns the sum of a statistic over the short service's upstreams. */
  int Sum(const std::string& aStatistic);
  /** \returns how often the voucher \a aKey was executed anywhere. */
  int Executions(const std::string& aKey);

  void SetFaults(const Json& aFaults);
  Json PlatformCounts();

  /** Writes the operators' files. */
  void WriteFiles(const std::string& aDirectory,
                  const std::vector<std::string>& aLeaving = {},
                  int aRamp = 100) const;
  /** \returns the process of `auburnmux publish`. */
  std::unique_ptr<Process> StartPublish(const std::string& aDirectory,
                                        const std::string& aBy,
                                        bool aWaitsForHosts = true);
  ToolRun Publish(const std::string& aDirectory,
                  const std::string& aBy = "test", bool aWaitsForHosts = true);
  /** \returns what a run of the tool ended with. */
  ToolRun WaitForTool(Process& aTool);
  /** Starts standin-caller with all hosts as entries. */
  std::unique_ptr<Process> StartCaller(const std::vector<std::string>& aFlags);
  /** \returns the report of a caller after its end. */
  Json WaitForReport(Process& aCaller);

private:
  std::string Address(std::size_t aLast) const;
  std::string OutputName(const std::string& aProgram);
  Json ServiceFile(bool aIsShort, const std::vector<std::string>& aLeaving,
                   int aRamp) const;
  Json TopologyFile() const;
  Json HostSettings(std::size_t aHost) const;
  void StartUpstreams(const std::string& aService, double aMeanMs);
  http::ClientRequest UpstreamRequest(std::size_t aUpstream,
                                      const std::string& aTarget) const;
  /** Sends a small request of the harness itself. \returns the JSON answer. */
  Json Ask(const http::ClientRequest& aRequest, const std::string& aBody = {});

  FleetSettings mSettings;
  unsigned mOctet;
  unsigned mOutputs = 0;
  base::Random mRandom{ 20261204 };
  std::string mDirectory;
  HttpProbe mProbe;
  std::unique_ptr<Process> mPlatform;
  std::vector<std::unique_ptr<Process>> mUpstreams;
  std::vector<std::unique_ptr<Process>> mHosts;
};

} // namespace auburnmux::process
