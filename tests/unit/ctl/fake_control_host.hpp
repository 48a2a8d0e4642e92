#ifndef BILBERRYLEAD_TESTS_CTL_FAKE_CONTROL_HOST_HPP
#define BILBERRYLEAD_TESTS_CTL_FAKE_CONTROL_HOST_HPP

#include "bilberrylead/catalog/catalog.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace bilberrylead::ctl::tests
{

/// What a fake_control_host does with a proposed change.
enum class change_handling
{
    /// Decides it and answers.
    answer,
    /// Decides it and closes the connection without an answer: the host ended
    /// after the change was committed.
    cut_answer,
    /// Decides it and answers "outcome unknown": the host lost the leadership
    /// before it knew that the change was committed.
    outcome_unknown,
    /// Decides it and answers that its data folder failed.
    disk_failed,
    /// Answers "not the leader", without deciding it; the same change is then
    /// accepted from another sender.
    refuse_and_accept_from_other,
};

/// A control host of one operator: reads and answers with the product's own
/// code, decides with a catalog, and loses answers on request. Serves one
/// connection at a time on a thread of its own.
class fake_control_host
{
public:
    /// Listens on a free port. `plan` says how proposed changes are handled, in
    /// order; those after its end are answered.
    explicit fake_control_host(std::vector<change_handling> plan);
    ~fake_control_host();
    fake_control_host(fake_control_host const&) = delete;
    fake_control_host& operator=(fake_control_host const&) = delete;

    /// ADDRESS:PORT for --control.
    std::string address() const;

    /// What has been decided. Not to be called while a command runs.
    catalog::catalog const& decided() const;

    /// Number of changes that were sent to this host.
    std::size_t sent_changes() const;

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace bilberrylead::ctl::tests

#endif
