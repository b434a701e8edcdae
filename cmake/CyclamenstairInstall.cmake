# Installs headers, libraries and the package files for find_package(cyclamenstair).
include(CMakePackageConfigHelpers)
install(DIRECTORY Cyclamenstair DESTINATION ${CMAKE_INSTALL_INCLUDEDIR} FILES_MATCHING PATTERN "*.h")
install(EXPORT CyclamenstairTargets NAMESPACE cyclamenstair:: DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/cyclamenstair)
configure_package_config_file(cmake/cyclamenstairConfig.cmake.in ${CMAKE_CURRENT_BINARY_DIR}/cyclamenstairConfig.cmake
    INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/cyclamenstair)
write_basic_package_version_file(${CMAKE_CURRENT_BINARY_DIR}/cyclamenstairConfigVersion.cmake COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/cyclamenstairConfig.cmake ${CMAKE_CURRENT_BINARY_DIR}/cyclamenstairConfigVersion.cmake
    DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/cyclamenstair)
