psp_test(settings_samples correctness/SampleSettingsTest.cpp USES psp_settings)
target_compile_definitions(settings_samples PRIVATE
  PSP_CONFIG_FOLDER="${CMAKE_SOURCE_DIR}/config")
psp_test(settings_faults error/SettingsFaultsTest.cpp USES psp_settings)
psp_test(settings_control_document error/ControlDocumentTest.cpp USES psp_settings)
target_compile_definitions(settings_control_document PRIVATE
  PSP_CONFIG_FOLDER="${CMAKE_SOURCE_DIR}/config")
psp_test(metrics_registry correctness/MetricsRegistryTest.cpp USES psp_metrics)
psp_test(logging_lines correctness/LogLineTest.cpp USES psp_logging)
psp_test(records_validation correctness/RecordsTest.cpp USES psp_records)
psp_test(records_data_folder error/DataFolderTest.cpp USES psp_records)
psp_test(ctl_commands correctness/CommandTest.cpp USES psp_ctl)
target_compile_definitions(ctl_commands PRIVATE
  PSP_CONFIG_FOLDER="${CMAKE_SOURCE_DIR}/config")
psp_test(operators_access error/OperatorAccessTest.cpp USES psp_ctl)
