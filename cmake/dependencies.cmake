# Packaged libraries only; each comes from the system's package manager
# (see `make setup`).
find_package(Boost 1.81 REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(prometheus-cpp REQUIRED)
find_package(fmt REQUIRED)
find_package(absl REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(ZSTD REQUIRED IMPORTED_TARGET libzstd)

add_library(bilberrylead_dependencies INTERFACE)
target_link_libraries(bilberrylead_dependencies INTERFACE
    Boost::headers
    nlohmann_json::nlohmann_json
    prometheus-cpp::core
    fmt::fmt
    absl::status
    absl::statusor
    PkgConfig::XXHASH
    PkgConfig::ZSTD
    OpenSSL::Crypto
    OpenSSL::SSL
    Threads::Threads)

if(NOT BILBERRYLEAD_PLATFORM_ONLY)
    pkg_check_modules(CRITERION REQUIRED IMPORTED_TARGET criterion)
    add_library(bilberrylead_test_dependencies INTERFACE)
    target_link_libraries(bilberrylead_test_dependencies INTERFACE
        PkgConfig::CRITERION)
endif()
