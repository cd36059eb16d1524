include(GNUInstallDirs)
include(CMakePackageConfigHelpers)

install(TARGETS dragonflymill EXPORT dragonflymillTargets)
install(TARGETS dragonflymill_exe)
install(DIRECTORY include/dragonflymill DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
install(EXPORT dragonflymillTargets NAMESPACE dragonflymill::
    DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/dragonflymill)
configure_package_config_file(cmake/dragonflymillConfig.cmake.in
    ${CMAKE_BINARY_DIR}/dragonflymillConfig.cmake
    INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/dragonflymill)
write_basic_package_version_file(${CMAKE_BINARY_DIR}/dragonflymillConfigVersion.cmake
    COMPATIBILITY SameMajorVersion)
install(FILES ${CMAKE_BINARY_DIR}/dragonflymillConfig.cmake ${CMAKE_BINARY_DIR}/dragonflymillConfigVersion.cmake
    DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/dragonflymill)
