#ifndef BILBERRYLEAD_REVIEW_STAND_INS_RECORD_HPP
#define BILBERRYLEAD_REVIEW_STAND_INS_RECORD_HPP

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace bilberrylead::review
{

/// What was sent, answered and run, a line each, with the seconds since the
/// start. May be used by several threads.
class record
{
public:
    /// Starts a new file at this path.
    explicit record(std::string const& path);

    /// Adds a line.
    void add(std::string const& line);

    /// Seconds since the start.
    double now() const;

private:
    std::mutex mutex;
    std::ofstream file;
    std::chrono::steady_clock::time_point began;
};

} // namespace bilberrylead::review

#endif
