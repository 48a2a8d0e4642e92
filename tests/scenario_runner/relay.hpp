#ifndef BILBERRYLEAD_SCENARIO_RUNNER_RELAY_HPP
#define BILBERRYLEAD_SCENARIO_RUNNER_RELAY_HPP

#include <chrono>
#include <cstdint>
#include <memory>

namespace bilberrylead::scenario
{

/// What a relay does with the bytes of one direction.
enum class relay_mode
{
    /// Passes them on.
    open,
    /// Keeps the connections, and lets nothing through: a network partition
    /// as the two ends see it.
    silent,
};

/// A TCP relay on loopback between one caller side and one called side.
/// Runs on a thread of its own.
class relay
{
public:
    /// Relays from a free port to this one.
    explicit relay(std::uint16_t target_port);
    ~relay();
    relay(relay const&) = delete;
    relay& operator=(relay const&) = delete;

    /// The port to call.
    std::uint16_t port() const;

    /// Sets both directions, for connections that are open and new ones.
    void set(relay_mode forward, relay_mode backward);

    /// Delays each direction by this much, and the opening of connections.
    void set_delay(std::chrono::milliseconds one_way);

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace bilberrylead::scenario

#endif
