#ifndef BILBERRYLEAD_SCENARIO_RUNNER_REVISION_WATCH_HPP
#define BILBERRYLEAD_SCENARIO_RUNNER_REVISION_WATCH_HPP

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bilberrylead::scenario
{

/// Samples from outside which revision each entry host has in force, and
/// notes every time one goes back.
class revision_watch
{
public:
    /// Starts to sample the entry hosts at these ports.
    revision_watch(std::map<std::string, std::uint16_t> ports,
                   std::string service);
    ~revision_watch();
    revision_watch(revision_watch const&) = delete;
    revision_watch& operator=(revision_watch const&) = delete;

    /// The newest revision seen at an entry host, 0 for none.
    std::uint64_t newest(std::string const& entry);

    /// What went back: "e1: 7 to 5"; empty if nothing did. A host that
    /// restarted and answers nothing for a while has not gone back.
    std::vector<std::string> decreases();

    /// Samples taken in all.
    std::uint64_t samples();

private:
    void sample_all();
    void note(std::string const& entry, std::uint64_t revision);

    std::map<std::string, std::uint16_t> ports;
    std::string service;
    std::mutex lock;
    std::map<std::string, std::uint64_t> newest_seen;
    std::vector<std::string> seen_decreases;
    std::uint64_t sample_count = 0;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace bilberrylead::scenario

#endif
