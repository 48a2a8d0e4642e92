#ifndef BILBERRYLEAD_REVIEW_STAND_INS_2_RECORD_HPP
#define BILBERRYLEAD_REVIEW_STAND_INS_2_RECORD_HPP

#include "review/stand_ins_2/sockets.hpp"

#include <fstream>
#include <mutex>
#include <string>

namespace bilberrylead::review
{

/// What a case sent, got and ran, a line each, with the seconds since its
/// start.
class record
{
public:
    explicit record(std::string const& path);

    void line(std::string const& text);
    /// Seconds since the start.
    double seconds() const;

private:
    std::mutex mutex;
    std::ofstream file;
    clock::time_point started = clock::now();
};

} // namespace bilberrylead::review

#endif
